/** The data path: callers' connections, connections to targets, and one exchange per request. */
package org.clementinesail.server.proxy;
