/** Running of callers' requests: model requests over chains and service calls. */
package org.clementinesail.server.requests;
