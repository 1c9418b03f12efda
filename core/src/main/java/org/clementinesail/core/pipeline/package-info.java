/** One request over a chain of engines: steps, replacement of stages, and blame for crashes. */
package org.clementinesail.core.pipeline;
