/**
 * A test rig for fleets of fronts. A timetable file describes the load and the faults of a run. The same file
 * drives front processes on sockets behind a fault proxy ({@link reedspring.rig.fleet.Fleet}) and the
 * decisions of hundreds of fronts in virtual time ({@link reedspring.rig.fleet.VirtualFleet}).
 * docs/fleet-rig.md describes the file format.
 */
package reedspring.rig.fleet;
