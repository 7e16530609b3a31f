/**
 * What the control side costs by the size of the fleet. {@link pumicekeel.rig.scale.ScaleRun} plays {@link
 * pumicekeel.rig.scale.Scenario scenarios} at several sizes of one {@link pumicekeel.rig.scale.Axis}, with hollow balancers: the
 * control classes of the real program, each on its own event loop and sockets over loopback, without clients or a decision module.
 * Figures are kept in a {@link pumicekeel.rig.scale.ResultFile}; {@link pumicekeel.rig.scale.Slope} fits them. Operator files of
 * any size come from {@link pumicekeel.rig.scale.ConfigurationGenerator}, by seed. Nothing here is called by serving code.
 */
package pumicekeel.rig.scale;
