/**
 * Many processes of the program and every link between them, played by a timetable that is data: the same
 * file drives started fronts on sockets ({@link reedspring.rig.fleet.Fleet}) and hundreds of fronts'
 * decisions in virtual time ({@link reedspring.rig.fleet.VirtualFleet}). docs/fleet-rig.md says how to write
 * one.
 */
package reedspring.rig.fleet;
