/** Benchmarks and the measurement of slopes for the capacity page. */
package org.clementinesail.bench;
