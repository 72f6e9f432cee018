// Tests of the route table and the weighted traffic split.

#include "routing/route_table.h"
#include "routing/traffic_split.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace quetzalspan;
using namespace routing;

namespace
{

route make_route(const std::string& name, const std::string& host, const std::string& prefix)
{
    route result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.services = {{"orders", 1}};
    return result;
}

} // namespace

TEST_GROUP(route_table){};

// Guards against a route with a shorter prefix that is selected because it comes first in the configuration.
TEST(route_table, the_longest_prefix_is_selected)
{
    configuration source;
    source.routes = {make_route("wide", "desk.example", "/a/"), make_route("narrow", "desk.example", "/a/b/"),
                     make_route("other", "mill.example", "/a/b/c/")};
    const std::shared_ptr<const route_table> table = route_table::create(source);
    CHECK_EQUAL(std::string("narrow"), table->find_route("desk.example", "/a/b/c/d")->name);
    CHECK_EQUAL(std::string("wide"), table->find_route("DESK.example:8668", "/a/bc")->name);
    CHECK(table->find_route("desk.example", "/b/") == nullptr);
    CHECK(table->find_route("unknown.example", "/a/") == nullptr);
}

// Guards against an API key that is assigned to another workspace or accepted although no workspace has it.
TEST(route_table, keys_identify_their_workspace)
{
    configuration source;
    workspace first;
    first.name = "harbour";
    first.key_digests = {"aa", "bb"};
    workspace second;
    second.name = "mill";
    second.key_digests = {"cc"};
    source.workspaces = {first, second};
    const std::shared_ptr<const route_table> table = route_table::create(source);
    CHECK_EQUAL(std::string("harbour"), table->find_workspace_by_key_digest("bb")->name);
    CHECK_EQUAL(std::string("mill"), table->find_workspace_by_key_digest("cc")->name);
    CHECK(table->find_workspace_by_key_digest("dd") == nullptr);
}

// Guards against checking the home regions of only the route or only the workspace.
TEST(route_table, home_regions_of_route_and_workspace_both_apply)
{
    CHECK(is_region_allowed({}, {}, "savo"));
    CHECK(is_region_allowed({"savo"}, {}, "savo"));
    CHECK_FALSE(is_region_allowed({"savo"}, {"perth"}, "savo"));
    CHECK_FALSE(is_region_allowed({"savo", "perth"}, {"perth"}, "savo"));
    CHECK(is_region_allowed({"savo", "perth"}, {"perth"}, "perth"));
}

TEST_GROUP(traffic_split){};

// Guards against splits that deviate from the weights in a window of 200 requests, for any offset.
TEST(traffic_split, each_window_follows_the_weights)
{
    route target = make_route("r", "desk.example", "/a/");
    target.services = {{"orders", 90}, {"archive", 10}};
    for (const double offset : {0.0, 0.37, 0.93}) {
        traffic_split split(offset);
        for (int window = 0; window < 20; ++window) {
            int archive_requests = 0;
            for (int request = 0; request < 200; ++request) {
                archive_requests += split.next_service(target) == "archive" ? 1 : 0;
            }
            CHECK(std::abs(archive_requests - 20) <= 3);
        }
    }
}
