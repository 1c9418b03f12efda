/** What is known of targets that hold layers by order: their statements, reports and suspicions. */
package org.clementinesail.core.fleet;
