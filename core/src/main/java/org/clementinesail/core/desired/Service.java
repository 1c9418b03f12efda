package org.clementinesail.core.desired;

import org.jspecify.annotations.Nullable;

/**
 * A service that routes send requests to.
 *
 * @param name name of the service
 * @param connectionLimit connections that one server accepts from all VMs together
 * @param engine capacity and speed of its engines, or null for a service without engines
 */
public record Service(String name, int connectionLimit, @Nullable EngineModel engine) {}
