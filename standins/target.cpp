// A stand-in for a target: runs requests in its slots, with faults that can be injected while it
// runs.

#include <gflags/gflags.h>

#include "standin_main.h"
#include "target_server.h"

DEFINE_string(listen, "127.0.0.1:9100", "address of the target");
DEFINE_string(name, "target", "name in answers and reports");
DEFINE_uint64(slots, 12, "requests worked on at once");
DEFINE_uint64(queue, 100, "requests that wait for a slot; further ones are shed as not run");
DEFINE_uint64(connections, 130, "open connections; requests on further ones are shed as not run");
DEFINE_double(service_ms, 5, "mean service time in milliseconds");
DEFINE_string(shape, "exponential", "service times: fixed, exponential or lognormal");
DEFINE_uint64(cold_requests, 0, "cold until so many requests are done; 0 for no such condition");
DEFINE_uint64(cold_ms, 0, "cold for at most this time in milliseconds; 0 for no such condition");
DEFINE_double(cold_factor, 4, "factor on the service time while cold");
DEFINE_uint64(cold_bearable, 3, "requests at once that the target bears while cold");
DEFINE_bool(check_grants, false, "refuse lower epochs and expired grants");
DEFINE_uint64(padding, 200, "bytes of filling in each answer");
DEFINE_uint64(seed, 1, "seed of the service times");
DEFINE_string(boot_id, "", "tells one start from another; made up when empty");

namespace bulrushway::standin {
namespace {

service_shape ShapeOrExit(const std::string& name) {
  if (name == "fixed") return service_shape::kFixed;
  if (name == "exponential") return service_shape::kExponential;
  if (name == "lognormal") return service_shape::kLognormal;
  ExitWithError({error_kind::kUser, "read flags", "--shape",
                 "The shape \"" + name + "\" is none of fixed, exponential, lognormal."});
}

std::string RandomBootId() {
  std::random_device device;
  return std::to_string((static_cast<uint64_t>(device()) << 32) | device());
}

int Run(int argc, char** argv) {
  gflags::SetUsageMessage("stand-in for a target");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  target_settings settings;
  settings.name = FLAGS_name;
  settings.listen = AddressOrExit(FLAGS_listen);
  settings.slots = FLAGS_slots;
  settings.queue = FLAGS_queue;
  settings.connections = FLAGS_connections;
  settings.service.mean = std::chrono::microseconds{static_cast<int64_t>(FLAGS_service_ms * 1000)};
  settings.service.shape = ShapeOrExit(FLAGS_shape);
  settings.service.cold_requests = FLAGS_cold_requests;
  settings.service.cold_time = std::chrono::milliseconds{FLAGS_cold_ms};
  settings.service.cold_factor = FLAGS_cold_factor;
  settings.service.cold_concurrency = FLAGS_cold_bearable;
  settings.check_grants = FLAGS_check_grants;
  settings.padding = FLAGS_padding;
  settings.seed = FLAGS_seed;
  settings.boot_id = FLAGS_boot_id.empty() ? RandomBootId() : FLAGS_boot_id;
  event_loop loop;
  target_server server(loop, settings, boot_clock::now());
  return RunService(loop, "target", server);
}

}  // namespace
}  // namespace bulrushway::standin

int main(int argc, char** argv) { return bulrushway::standin::Run(argc, argv); }
