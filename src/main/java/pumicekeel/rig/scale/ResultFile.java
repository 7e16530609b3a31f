package pumicekeel.rig.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pumicekeel.adapter.Fields;

/** A file of samples, one JSON object per line. It is rewritten after each sample, so that an interrupted run can be resumed. */
public final class ResultFile {

  private static final JsonFactory JSON = new JsonFactory();

  /** The order of the file: by scenario, size and round, so that the samples of one fit are adjacent. */
  private static final Comparator<Sample> ORDER = Comparator.comparing(Sample::scenario)
      .thenComparingInt(Sample::size)
      .thenComparingInt(Sample::round);

  private final Path file;
  private final List<Sample> samples;

  private ResultFile(Path file, List<Sample> samples) {
    this.file = file;
    this.samples = samples;
  }

  /** Reads a file; a file that does not exist is treated as empty. */
  public static ResultFile open(Path file) throws IOException {
    List<Sample> samples = new ArrayList<>();
    if (Files.exists(file)) {
      for (String line : Files.readAllLines(file)) {
        if (!line.isBlank()) {
          samples.add(parse(line));
        }
      }
    }
    return new ResultFile(file, samples);
  }

  private static Sample parse(String line) throws IOException {
    Fields fields = Fields.parse("sample", line);
    Axis axis = Axis.of(fields.text("axis"));
    if (axis == null) {
      throw new IOException("unknown axis \"" + fields.text("axis") + "\"");
    }
    Map<String, Double> figures = new TreeMap<>();
    Fields figureFields = fields.nested("figures");
    for (Object name : figureFields.values().keySet()) {
      figures.put((String) name, figureFields.number((String) name, 0));
    }
    return new Sample(
        fields.text("scenario"),
        axis,
        (int) fields.integer("size"),
        (int) fields.integer("round"),
        fields.text("build"),
        fields.integer("seed"),
        fields.number("load-before", 0),
        (int) fields.integer("processors"),
        fields.text("at"),
        figures);
  }

  /** Returns all samples in the order of the file. */
  public List<Sample> samples() {
    return samples.stream().sorted(ORDER).toList();
  }

  /** Returns the samples of one scenario in the order of the file. */
  public List<Sample> samplesOf(String scenario) {
    return samples().stream()
        .filter(sample -> sample.scenario().equals(scenario))
        .toList();
  }

  /** Returns whether the file has a sample of this scenario, size and round. */
  public boolean contains(String scenario, int size, int round) {
    return samples.stream()
        .anyMatch(sample ->
            sample.scenario().equals(scenario) && sample.size() == size && sample.round() == round);
  }

  /** Adds a sample and replaces the file atomically: a reader sees the file either with or without the sample. */
  public void add(Sample sample) throws IOException {
    samples.add(sample);
    Path temporaryFile = file.resolveSibling(file.getFileName() + ".next");
    Files.writeString(temporaryFile, toJsonLines(samples()));
    Files.move(
        temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Returns the samples as JSON, one object per line. */
  public static String toJsonLines(Collection<Sample> samples) throws IOException {
    StringBuilder out = new StringBuilder();
    for (Sample sample : samples) {
      out.append(toJson(sample)).append('\n');
    }
    return out.toString();
  }

  private static String toJson(Sample sample) throws IOException {
    StringWriter out = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(out)) {
      json.writeStartObject();
      json.writeStringField("scenario", sample.scenario());
      json.writeStringField("axis", sample.axis().key());
      json.writeNumberField("size", sample.size());
      json.writeNumberField("round", sample.round());
      json.writeStringField("build", sample.build());
      json.writeNumberField("seed", sample.seed());
      json.writeNumberField("load-before", sample.loadBefore());
      json.writeNumberField("processors", sample.processors());
      json.writeStringField("at", sample.finishedAt());
      json.writeObjectFieldStart("figures");
      for (Map.Entry<String, Double> figure : new TreeMap<>(sample.figures()).entrySet()) {
        json.writeNumberField(figure.getKey(), rounded(figure.getValue()));
      }
      json.writeEndObject();
      json.writeEndObject();
    }
    return out.toString();
  }

  /** Rounds to three decimals; in all units that are used, further digits are noise. */
  private static double rounded(double value) {
    return Math.round(value * 1_000) / 1_000.0;
  }
}
