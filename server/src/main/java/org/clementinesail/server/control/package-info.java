/** Runs the local replica, sends requests to replicas and keeps the rules of this VM up to date. */
package org.clementinesail.server.control;
