/**
 * Measures what the control plane costs by the size of the fleet. {@link pumicekeel.rig.scale.ScaleRun} measures {@link
 * pumicekeel.rig.scale.Scenario scenarios} at several sizes of one {@link pumicekeel.rig.scale.Axis}. Most use hollow balancers: the
 * control classes of the real program, each balancer on its own event loop and loopback sockets, without clients or a decision module.
 * Samples are stored in a {@link pumicekeel.rig.scale.ResultFile} and fitted by {@link pumicekeel.rig.scale.Slope}. {@link
 * pumicekeel.rig.scale.ConfigurationGenerator} generates operator files of any size from a seed. Serving code uses nothing of this
 * package.
 */
package pumicekeel.rig.scale;
