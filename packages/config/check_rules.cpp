// Cross-checks of the rules: references to the registry, ranges, duplicates and contradictions.

#include "config/check_context.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <set>

namespace quetzalspan::config
{

namespace
{

constexpr double max_rate_per_second = 1e9;
constexpr double max_burst = 1e9;
constexpr double max_bytes_per_second = 1e12;
constexpr double max_burst_bytes = 1e12;
constexpr double max_latency_milliseconds = 3600000;

// Returns the reason why the text is not a path prefix, or an empty string. Requests are routed by the path
// as it was sent, so a prefix that only matches after decoding or normalizing would never match.
std::string path_prefix_fault(const std::string& text)
{
    if (text.empty() || text.front() != '/') {
        return "must begin with \"/\"";
    }
    const bool has_bad_character = std::any_of(text.begin(), text.end(), [](char c) {
        return !absl::ascii_isgraph(static_cast<unsigned char>(c)) || c == '?' || c == '#' || c == '%' ||
               c == '\\' || c == '"';
    });
    if (has_bad_character) {
        return "may not have spaces, quotes, \"?\", \"#\", \"%\", \"\\\" or characters beyond ASCII";
    }
    if (text.find("//") != std::string::npos || text.find("/./") != std::string::npos ||
        text.find("/../") != std::string::npos || text.ends_with("/..") || text.ends_with("/.")) {
        return "may not have empty, \".\" or \"..\" segments";
    }
    return {};
}

std::string without_final_slash(const std::string& prefix)
{
    return prefix.size() > 1 && prefix.back() == '/' ? prefix.substr(0, prefix.size() - 1) : prefix;
}

// Returns the route with the longest prefix among those whose prefix the given route's prefix extends, or
// nullptr if there is none.
const route* find_covering_route(const std::vector<route>& routes, const route& longer)
{
    const route* covering = nullptr;
    for (const route& candidate : routes) {
        if (candidate.path_prefix.size() < longer.path_prefix.size() &&
            longer.path_prefix.starts_with(candidate.path_prefix) &&
            (covering == nullptr || candidate.path_prefix.size() > covering->path_prefix.size())) {
            covering = &candidate;
        }
    }
    return covering;
}

// Warns about a route that a shorter prefix makes redundant, and about one that a prefix ending within a path
// segment may cover by mistake, as /desk covers /desktop.
void check_route_overlap(check_context& context, const std::string& path, const route& item)
{
    const route* covering = find_covering_route(context.value().policy.routes, item);
    if (covering == nullptr) {
        return;
    }
    if (covering->service == item.service && covering->is_public == item.is_public) {
        context.add_warning(path, "has no effect: route \"" + covering->path_prefix + "\" already covers it");
        return;
    }
    const bool ends_within_segment =
        covering->path_prefix.back() != '/' && item.path_prefix[covering->path_prefix.size()] != '/';
    if (ends_within_segment) {
        context.add_warning(
            path, "begins with route \"" + covering->path_prefix +
                      "\" within a segment; end that route with \"/\" if it is not meant to cover it");
    }
}

void check_routes(check_context& context)
{
    const std::vector<route>& routes = context.value().policy.routes;
    if (routes.empty()) {
        context.add_error("rules.routes", "must have at least one route");
    }
    for (std::size_t index = 0; index < routes.size(); ++index) {
        const route& item = routes[index];
        const std::string path = item_path("rules.routes", index);
        context.expect_service(path + ".service", item.service);
        const std::string fault = path_prefix_fault(item.path_prefix);
        if (!fault.empty()) {
            context.add_error(path + ".path_prefix", fault);
            continue;
        }
        context.expect_unique(path + ".path_prefix", "route", without_final_slash(item.path_prefix),
                              "route \"" + item.path_prefix +
                                  "\" differs from another route at most in a final \"/\"");
        check_route_overlap(context, path, item);
    }
}

// Checks the source and target region of a cap or planned shift.
void check_region_pair(check_context& context, const std::string& path, const std::string& from,
                       const std::string& to)
{
    context.expect_region(path + ".from_region", from);
    context.expect_region(path + ".to_region", to);
    if (from == to && context.has_region(from)) {
        context.add_error(path + ".to_region", "must differ from from_region");
    }
}

void check_caps(check_context& context)
{
    const rules& policy = context.value().policy;
    for (std::size_t index = 0; index < policy.shift_caps.size(); ++index) {
        const shift_cap& item = policy.shift_caps[index];
        const std::string path = item_path("rules.shift_caps", index);
        check_region_pair(context, path, item.from_region, item.to_region);
        context.expect_unique(path + ".to_region", "shift cap", item.from_region + "\n" + item.to_region,
                              "the cap from \"" + item.from_region + "\" to \"" + item.to_region +
                                  "\" is given twice");
        context.expect_range(path + ".rate_per_second", item.rate_per_second, 0, max_rate_per_second);
        context.expect_range(path + ".burst", item.burst, 0, max_burst);
        if (item.rate_per_second > 0 && item.burst == 0) {
            context.add_error(path + ".burst", "admits nothing although the rate is above 0");
        }
        if (item.rate_per_second == 0 && item.burst > 0) {
            context.add_error(path + ".rate_per_second", "never refills the burst; give both or neither");
        }
    }
    for (std::size_t index = 0; index < policy.link_caps.size(); ++index) {
        const link_cap& item = policy.link_caps[index];
        const std::string path = item_path("rules.link_caps", index);
        check_region_pair(context, path, item.from_region, item.to_region);
        context.expect_unique(path + ".to_region", "link cap", item.from_region + "\n" + item.to_region,
                              "the cap from \"" + item.from_region + "\" to \"" + item.to_region +
                                  "\" is given twice");
        context.expect_range(path + ".bytes_per_second", item.bytes_per_second, 1, max_bytes_per_second);
        context.expect_range(path + ".burst_bytes", static_cast<double>(item.burst_bytes), 1,
                             max_burst_bytes);
    }
}

// Returns whether the service has an endpoint in the region. Also true for a service that is not in the
// registry.
bool has_endpoint_in(const check_context& context, const std::string& service_name, const std::string& region)
{
    for (const service& item : context.value().inventory.services) {
        if (item.name != service_name) {
            continue;
        }
        return std::any_of(item.endpoints.begin(), item.endpoints.end(), [&](const endpoint& one) {
            return context.region_of_zone(one.availability_zone) == region;
        });
    }
    // An unknown service has already been reported.
    return true;
}

// Returns whether a shift cap with a rate above 0 exists for the regions of the shift.
bool has_cap(const rules& policy, const planned_shift& shift)
{
    return std::any_of(policy.shift_caps.begin(), policy.shift_caps.end(), [&](const shift_cap& cap) {
        return cap.from_region == shift.from_region && cap.to_region == shift.to_region &&
               cap.rate_per_second > 0;
    });
}

void check_shift_against_rules(check_context& context, const std::string& path, const planned_shift& item)
{
    const rules& policy = context.value().policy;
    if (!has_cap(policy, item)) {
        context.add_error(path, "no shift cap above 0 from \"" + item.from_region + "\" to \"" +
                                    item.to_region + "\"; a shift needs one");
    }
    if (std::find(policy.drained_regions.begin(), policy.drained_regions.end(), item.to_region) !=
        policy.drained_regions.end()) {
        // Only a warning: an existing planned shift must not prevent operators from draining a region
        // immediately.
        context.add_warning(path + ".to_region",
                            "region \"" + item.to_region + "\" is drained; the shift moves nothing there");
    }
    if (context.has_region(item.to_region) && !has_endpoint_in(context, item.service, item.to_region)) {
        context.add_error(path + ".to_region",
                          "service \"" + item.service + "\" has no endpoint in \"" + item.to_region + "\"");
    }
}

void check_planned_shifts(check_context& context)
{
    const std::vector<planned_shift>& shifts = context.value().policy.planned_shifts;
    for (std::size_t index = 0; index < shifts.size(); ++index) {
        const planned_shift& item = shifts[index];
        const std::string path = item_path("rules.planned_shifts", index);
        context.expect_service(path + ".service", item.service);
        check_region_pair(context, path, item.from_region, item.to_region);
        context.expect_range(path + ".begin_fraction", item.begin_fraction, 0, 1);
        context.expect_range(path + ".end_fraction", item.end_fraction, 0, 1);
        if (item.begin >= item.end) {
            context.add_error(path + ".end", "must be after begin");
        }
        check_shift_against_rules(context, path, item);
        for (std::size_t earlier = 0; earlier < index; ++earlier) {
            const planned_shift& other = shifts[earlier];
            if (other.service == item.service && other.from_region == item.from_region &&
                other.begin < item.end && item.begin < other.end) {
                context.add_error(path, "overlaps in time with " +
                                            item_path("rules.planned_shifts", earlier) +
                                            ", which moves the same requests");
            }
        }
    }
}

void check_drained_regions(check_context& context)
{
    const std::vector<std::string>& drained = context.value().policy.drained_regions;
    for (std::size_t index = 0; index < drained.size(); ++index) {
        const std::string path = item_path("rules.drained_regions", index);
        context.expect_region(path, drained[index]);
        context.expect_unique(path, "drained region", drained[index],
                              "region \"" + drained[index] + "\" is given twice");
    }
    const std::set<std::string> distinct(drained.begin(), drained.end());
    const std::vector<std::string>& regions = context.value().inventory.regions;
    const bool is_any_left = std::any_of(regions.begin(), regions.end(), [&](const std::string& region) {
        return !distinct.contains(region);
    });
    if (!regions.empty() && !is_any_left) {
        context.add_error("rules.drained_regions", "leaves no region to serve");
    }
}

void check_objectives(check_context& context)
{
    const std::vector<objective>& objectives = context.value().policy.objectives;
    for (std::size_t index = 0; index < objectives.size(); ++index) {
        const objective& item = objectives[index];
        const std::string path = item_path("rules.objectives", index);
        context.expect_service(path + ".service", item.service);
        context.expect_unique(path + ".service", "objective", item.service,
                              "the objective of \"" + item.service + "\" is given twice");
        // A target of 1 leaves no error budget, so the burn rate would be undefined.
        if (!(item.target > 0 && item.target < 1)) {
            context.add_error(path + ".target", "must be above 0 and below 1");
        }
        context.expect_range(path + ".latency_ms", item.latency_milliseconds, 1, max_latency_milliseconds);
    }
}

} // namespace

void check_rules(check_context& context)
{
    check_routes(context);
    check_caps(context);
    check_planned_shifts(context);
    check_drained_regions(context);
    check_objectives(context);
}

} // namespace quetzalspan::config
