/** HTTP listeners and handlers for callers, targets and operators. */
package org.clementinesail.server.http;
