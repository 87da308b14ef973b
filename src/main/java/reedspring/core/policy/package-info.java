/**
 * Independent policies without I/O: time and facts are parameters, and the result is a decision. The central
 * one is {@link reedspring.core.policy.QueryLifecycle}, which decides what may be done with each query.
 */
package reedspring.core.policy;
