/**
 * What the scale run and the tests at scale share: operator files of any size, by seed. Nothing here is called by serving code.
 */
package pumicekeel.rig.scale;
