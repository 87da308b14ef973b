/**
 * Decisions with one job each, without I/O: time and facts are handed in, a verdict comes out. Start with
 * {@link reedspring.core.policy.QueryLifecycle}, which says of each query what may be done with it now.
 */
package reedspring.core.policy;
