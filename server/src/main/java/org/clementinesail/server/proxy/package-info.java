/** HTTP proxy: connections of callers, connections to targets, and retries of requests. */
package org.clementinesail.server.proxy;
