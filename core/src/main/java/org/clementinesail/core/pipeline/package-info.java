/**
 * Runs a model request on a chain of engines, replaces stages and finds requests that crash them.
 */
package org.clementinesail.core.pipeline;
