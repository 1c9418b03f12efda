package org.clementinesail.core.desired;

import org.jspecify.annotations.Nullable;

/**
 * A service that routes name.
 *
 * @param name name of the service
 * @param connectionLimit connections that one server accepts from all VMs together
 * @param engine how its engines behave, or null for a plain service
 */
public record Service(String name, int connectionLimit, @Nullable EngineModel engine) {}
