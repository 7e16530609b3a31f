package pumicekeel.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pumicekeel.upstream.AnswerProgress.Step;

/** The times that may end an answer, in each of its states. */
class AnswerProgressTest {

  private static final long FIRST_BYTE_MILLIS = 1_700;
  private static final long CLIENT_MILLIS = 2_500;
  private static final int LARGE = 100_000;

  private final AnswerProgress progress = new AnswerProgress();

  @BeforeEach
  void setDeadlines() {
    progress.setDeadlines(at(FIRST_BYTE_MILLIS), at(CLIENT_MILLIS));
  }

  /** Times start somewhere, as those of a real clock do. */
  private static long at(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(1_000_000 + millis);
  }

  private void arrived(long millis, long bodyBytes) {
    progress.arrived(true, bodyBytes, at(millis));
  }

  private Step next(long millis) {
    return progress.next(at(millis));
  }

  private void passedOn(long millis) {
    progress.passedOn(at(millis));
  }

  @Test
  void timeOutEndsAnAnswerThatHasNotBegun() {
    assertEquals(Step.WAIT, next(FIRST_BYTE_MILLIS - 1));
    assertEquals(Step.END_TIME_UP, next(FIRST_BYTE_MILLIS));
  }

  @Test
  void answerThatHasBegunHasItsClientsWholeTime() {
    progress.arrived(false, 0, at(100));
    assertEquals(Step.SUSPECT, next(400));
    assertEquals(Step.WAIT, next(FIRST_BYTE_MILLIS));
    assertEquals(Step.WAIT, next(CLIENT_MILLIS - 1));
    assertEquals(Step.END_TIME_UP, next(CLIENT_MILLIS));
  }

  @Test
  void silentAnswerIsPassedOnBeforeItsClientsTimeIsUp() {
    for (long bodyBytes : List.of(0L, 500L)) {
      AnswerProgress silent = new AnswerProgress();
      silent.setDeadlines(at(FIRST_BYTE_MILLIS), at(CLIENT_MILLIS));
      silent.arrived(true, bodyBytes, at(100));
      assertEquals(Step.SUSPECT, silent.next(at(400)));
      assertEquals(Step.WAIT, silent.next(at(CLIENT_MILLIS - 61)));
      assertEquals(at(CLIENT_MILLIS - 60), silent.nextCheckAt(at(1_000)));
      assertEquals(Step.PASS_ON, silent.next(at(CLIENT_MILLIS - 60)));
      assertEquals(Step.PASS_ON, silent.next(at(CLIENT_MILLIS + 100)), "a loop that is late");
    }
  }

  @Test
  void silenceIsReportedOnceAndEndsNothing() {
    arrived(100, 0);
    assertEquals(Step.WAIT, next(399));
    assertEquals(Step.SUSPECT, next(400));
    assertEquals(Step.WAIT, next(401));
    arrived(500, 10);
    assertEquals(Step.WAIT, next(1_000));
  }

  @Test
  void arrivingAnswerIsPassedOnAfterAWhile() {
    for (int t = 0; t <= 700; t += 100) {
      arrived(t, 1_000 + t);
      assertEquals(Step.WAIT, next(t));
    }
    arrived(701, 2_000);
    assertEquals(Step.PASS_ON, next(701));
  }

  @Test
  void arrivingAnswerIsPassedOnBeforeItsClientsTimeIsUp() {
    arrived(CLIENT_MILLIS - 500, 1_000);
    arrived(CLIENT_MILLIS - 100, 9_000);
    assertEquals(Step.WAIT, next(CLIENT_MILLIS - 61));
    assertEquals(at(CLIENT_MILLIS - 60), progress.nextCheckAt(at(CLIENT_MILLIS - 100)));
    assertEquals(Step.PASS_ON, next(CLIENT_MILLIS - 60));
  }

  @Test
  void answerOfWhichNothingCanBePassedOnEndsWithItsClientsTime() {
    progress.arrived(false, 0, at(100));
    assertEquals(Step.END_TIME_UP, next(CLIENT_MILLIS), "a part of a head");
    arrived(CLIENT_MILLIS - 50, 100_000);
    progress.passOnDeclined();
    assertEquals(Step.WAIT, next(CLIENT_MILLIS - 50), "a client that accepts whole answers only");
    assertEquals(Step.END_TIME_UP, next(CLIENT_MILLIS));
  }

  @Test
  void passedOnAnswerOutlastsItsClientsTimeAsLongAsItArrives() {
    arrived(100, 1_000);
    passedOn(800);
    for (int t = 900; t < 4 * CLIENT_MILLIS; t += 250) {
      arrived(t, LARGE + t);
      assertEquals(Step.WAIT, next(t + 249));
    }
  }

  @Test
  void gapOfAPassedOnAnswerIsReportedOnceAndEndsNothingBeforeTheIdleTimeOut() {
    arrived(100, 50_000);
    passedOn(800);
    arrived(1_600, 60_000);
    assertEquals(Step.WAIT, next(1_899));
    assertEquals(Step.SUSPECT, next(1_900));
    for (long t = 1_901; t < 1_600 + 60_000; t += 100) {
      assertEquals(Step.WAIT, next(t));
    }
    assertEquals(at(61_600), progress.nextCheckAt(at(30_000)));
    assertEquals(Step.END_SILENT, next(61_600));
  }

  @Test
  void idleTimeOutEndsAnAnswerInEachState() {
    progress.setDeadlines(at(200_000), at(200_000));
    arrived(100, 0);
    assertEquals(Step.SUSPECT, next(60_099));
    assertEquals(Step.END_SILENT, next(60_100));
    arrived(70_000, 500_000);
    passedOn(70_000);
    assertEquals(Step.WAIT, next(129_999));
    assertEquals(Step.END_SILENT, next(130_000));
  }

  @Test
  void answerThatDripsIsPassedOnAndNotEndedForItsPace() {
    arrived(CLIENT_MILLIS - 600, 1);
    for (long t = CLIENT_MILLIS - 550; t < CLIENT_MILLIS - 60; t += 50) {
      arrived(t, t / 50);
      assertEquals(Step.WAIT, next(t), "not passed on at " + t);
    }
    assertEquals(Step.PASS_ON, next(CLIENT_MILLIS - 60));
    passedOn(CLIENT_MILLIS - 60);
    for (long t = CLIENT_MILLIS; t < 10 * CLIENT_MILLIS; t += 250) {
      arrived(t, t / 50);
      assertEquals(Step.WAIT, next(t + 249));
    }
  }

  @Test
  void ofTwoAnswersTheOneThatIsLikelierToEndIsPassedOn() {
    long now = at(2_000);
    AnswerProgress silentBody = arrivedAt(1_600, 500);
    AnswerProgress laterSilentBody = arrivedAt(1_650, 400);
    AnswerProgress silentHead = arrivedAt(1_690, 0);
    AnswerProgress freshHead = arrivedAt(1_900, 0);
    AnswerProgress freshBody = arrivedAt(1_800, 1);
    List<AnswerProgress> likeliestFirst =
        List.of(freshBody, freshHead, laterSilentBody, silentBody, silentHead);
    for (int i = 0; i < likeliestFirst.size(); i++) {
      for (int j = 0; j < likeliestFirst.size(); j++) {
        assertEquals(
            i < j,
            likeliestFirst.get(i).isLikelierToEndThan(likeliestFirst.get(j), now),
            i + " " + j);
      }
    }
  }

  private static AnswerProgress arrivedAt(long millis, long bodyBytes) {
    AnswerProgress answer = new AnswerProgress();
    answer.setDeadlines(at(FIRST_BYTE_MILLIS), at(CLIENT_MILLIS));
    answer.arrived(true, bodyBytes, at(millis));
    return answer;
  }

  @Test
  void overtimeSilenceCountsOnlyForAPassedOnAnswerBehindItsClientsTime() {
    arrived(100, 500);
    assertEquals(0, progress.overtimeSilenceNanos(at(CLIENT_MILLIS + 1)));
    passedOn(800);
    assertEquals(0, progress.overtimeSilenceNanos(at(CLIENT_MILLIS - 1)));
    assertEquals(
        TimeUnit.MILLISECONDS.toNanos(CLIENT_MILLIS - 100),
        progress.overtimeSilenceNanos(at(CLIENT_MILLIS)));
    progress.setPaused(true, at(CLIENT_MILLIS));
    assertEquals(0, progress.overtimeSilenceNanos(at(CLIENT_MILLIS + 1)));
  }

  @Test
  void clientThatDoesNotReadIsNoSilenceOfTheUpstream() {
    arrived(100, LARGE);
    passedOn(800);
    progress.setPaused(true, at(900));
    assertEquals(Step.WAIT, next(30_000));
    assertEquals(Long.MAX_VALUE, progress.nextCheckAt(at(30_000)));
    progress.setPaused(false, at(30_000));
    assertEquals(Step.WAIT, next(30_299));
    assertEquals(Step.SUSPECT, next(30_300));
    assertEquals(Step.WAIT, next(89_999));
    assertEquals(Step.END_SILENT, next(90_000));
  }

  /** A check that is due and changes nothing must not be due again at once. */
  @Test
  void checksAlwaysMoveOn() {
    arrived(100, 0);
    for (long t = 100; t < CLIENT_MILLIS; ) {
      next(t);
      long due = TimeUnit.NANOSECONDS.toMillis(progress.nextCheckAt(at(t)) - at(0));
      assertTrue(due > t, "due at " + due + ", asked at " + t);
      t = due;
    }
  }
}
