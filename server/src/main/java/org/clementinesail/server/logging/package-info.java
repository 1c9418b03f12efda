/** Logs in JSON Lines format: application events and log entries of libraries. */
package org.clementinesail.server.logging;
