/** The replica's driver, requests to replicas, and the rules in force on this VM. */
package org.clementinesail.server.control;
