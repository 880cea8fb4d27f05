#ifndef LIMPETFALL_TEST_HARNESS_PLANNER_CONFIG_H_
#define LIMPETFALL_TEST_HARNESS_PLANNER_CONFIG_H_

#include "core/gateway-config.h"

namespace limpetfall::testing {

inline const ModelName kLarge("large");
inline const ModelName kSmall("small");
inline const ServiceName kService("folds");

/** Returns a configuration with one service, whose models take groups of four and of two runners.
 */
inline GatewayConfig PlannerConfig() {
  EngineProfile engine;
  engine.slots = 17;
  engine.loads_per_second = 5;
  engine.concurrent_loads = 7;
  engine.models = {{kLarge, 4, 0.5, 1, Milliseconds(16000), Milliseconds(1600)},
                   {kSmall, 2, 0.5, 1, Milliseconds(12000), Milliseconds(1100)}};
  GatewayConfig config;
  config.services[kService] = {kService, engine};
  return config;
}

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_PLANNER_CONFIG_H_
