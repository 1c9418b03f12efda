/** Runs callers' requests: model requests on chains of engines, and service calls. */
package org.clementinesail.server.requests;
