// Tests of the metrics registry and its text exposition.

#include "burn/metrics_registry.h"

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;

TEST_GROUP(metrics_registry){};

// Guards against an exposition that a monitoring system cannot parse.
TEST(metrics_registry, text_has_prefix_types_and_escaped_labels)
{
    burn::metrics_registry registry;
    registry.get_counter("requests_total", "Requests.\nAll.", {{"workspace", "a\"b\\c\nd"}}).add(3);
    registry.get_counter("requests_total", "Requests.", {{"workspace", "a\"b\\c\nd"}}).add();
    registry.get_gauge("members", "Members.").set(7);
    registry.add_gauge_hook("revision", "Revision.", {}, [] { return 12345678.0; });
    burn::summary& latency = registry.get_summary("latency_seconds", "Latency.");
    for (int index = 0; index < 10; ++index) {
        latency.record(std::chrono::milliseconds(20));
    }
    STRCMP_EQUAL("# HELP quetzalspan_latency_seconds Latency.\n"
                 "# TYPE quetzalspan_latency_seconds summary\n"
                 "quetzalspan_latency_seconds{quantile=\"0.5\"} 0.02\n"
                 "quetzalspan_latency_seconds{quantile=\"0.99\"} 0.02\n"
                 "quetzalspan_latency_seconds_sum 0.2\n"
                 "quetzalspan_latency_seconds_count 10\n"
                 "# HELP quetzalspan_members Members.\n"
                 "# TYPE quetzalspan_members gauge\n"
                 "quetzalspan_members 7\n"
                 "# HELP quetzalspan_requests_total Requests.\\nAll.\n"
                 "# TYPE quetzalspan_requests_total counter\n"
                 "quetzalspan_requests_total{workspace=\"a\\\"b\\\\c\\nd\"} 4\n"
                 "# HELP quetzalspan_revision Revision.\n"
                 "# TYPE quetzalspan_revision gauge\n"
                 "quetzalspan_revision 12345678\n",
                 registry.to_text().c_str());
}

// Guards against a metric name of two types and against malformed names, for which a monitoring system
// rejects the whole exposition.
TEST(metrics_registry, malformed_names_and_conflicting_types_are_rejected)
{
    burn::metrics_registry registry;
    registry.get_counter("requests_total", "Requests.");
    CHECK_THROWS(std::invalid_argument, registry.get_gauge("requests_total", "Requests."));
    for (const char* name : {"", "9a", "a-b", "A", "a b"}) {
        CHECK_THROWS(std::invalid_argument, registry.get_counter(name, "Bad."));
        CHECK_THROWS(std::invalid_argument, registry.get_counter("good", "Bad.", {{name, "v"}}));
    }
}
