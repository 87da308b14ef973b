/**
 * Decisions with one job each, without I/O: time and facts are handed in, a verdict comes out.
 */
package reedspring.core.policy;
