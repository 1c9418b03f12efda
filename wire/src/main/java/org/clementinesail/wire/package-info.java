/**
 * The protocol between VMs: conversion between protobuf messages and core types, and the transport.
 */
package org.clementinesail.wire;
