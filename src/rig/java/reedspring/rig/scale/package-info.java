/**
 * Capacity measurements for the deployment size expected in two years: a run of many hollow fronts (decisions
 * and journal client only, no client sockets) beside real ones, the cost of each factor, and the capacity
 * page.
 */
package reedspring.rig.scale;
