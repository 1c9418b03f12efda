/**
 * Benchmarks of time, memory and bytes against load, for capacity planning, and a simulation of
 * routing policies.
 */
package org.clementinesail.bench;
