#include "persimmonlb/routes/routetable.h"

#include <algorithm>
#include <utility>

namespace persimmonlb
{

namespace
{

std::uint64_t totalWeight(const Route &route)
{
    std::uint64_t total = 0;
    for (const WeightedService &choice : route.services) {
        total += choice.weight;
    }
    return total;
}

bool isPrefix(std::string_view prefix)
{
    return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
}

/// Why the route cannot be put in force; empty when it can.
std::string faultOf(const Route &route, const std::vector<RoutedService> &services)
{
    if (!isPrefix(route.pathPrefix)) {
        return "the path prefix does not begin and end with a slash";
    }
    if (totalWeight(route) == 0) {
        return "the weights add up to 0";
    }
    if (route.timeout.count() <= 0 && route.kind != RouteKind::Batch) {
        return "no timeout";
    }
    for (const WeightedService &choice : route.services) {
        if (std::ranges::find(services, choice.service, &RoutedService::name) == services.end()) {
            return "unknown service " + choice.service.value;
        }
    }
    return {};
}

} // namespace

Result<RouteTable> RouteTable::make(std::uint64_t version, std::vector<Route> routes,
                                    std::vector<RoutedService> services, CallerLimits limits,
                                    const std::optional<std::vector<CustomerEntry>> &customers)
{
    RouteTable table;
    for (std::size_t position = 0; position < routes.size(); ++position) {
        const Route &route = routes[position];
        std::string fault = faultOf(route, services);
        if (fault.empty()
            && !table.byHost_[route.host].emplace(route.pathPrefix, position).second) {
            fault = "another route has the same host and prefix";
        }
        if (!fault.empty()) {
            return fail(ResultCode::SheetMalformed, "route " + route.name + ": " + fault);
        }
    }
    table.requiresKeys_ = customers.has_value();
    for (const CustomerEntry &entry : customers.value_or(std::vector<CustomerEntry>())) {
        for (const std::string &key : entry.keys) {
            if (!table.keys_.add(key, table.customers_.size())) {
                return fail(ResultCode::SheetMalformed,
                            "customer " + entry.customer.name.value
                                + ": a key is empty or belongs to another customer");
            }
        }
        table.customers_.push_back(entry.customer);
        if (entry.customer.isLimited()) {
            table.limitedCustomers_.insert(entry.customer.name);
        }
    }
    table.version_ = version;
    table.routes_ = std::move(routes);
    table.services_ = std::move(services);
    table.limits_ = limits;
    return table;
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto ofHost = byHost_.find(host);
    if (ofHost == byHost_.end()) {
        return nullptr;
    }
    const auto &prefixes = ofHost->second;
    // Prefixes end with a slash, so that only the path's own slashes can end one.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;) {
        const auto found = prefixes.find(std::string(path.substr(0, end + 1)));
        if (found != prefixes.end()) {
            return &routes_[found->second];
        }
        end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
    }
    return nullptr;
}

const RoutedService *RouteTable::findService(const ServiceName &name) const
{
    const auto found = std::ranges::find(services_, name, &RoutedService::name);
    return found == services_.end() ? nullptr : &*found;
}

std::uint64_t RouteTable::version() const
{
    return version_;
}

const std::vector<Route> &RouteTable::routes() const
{
    return routes_;
}

const CallerLimits &RouteTable::limits() const
{
    return limits_;
}

bool RouteTable::requiresKeys() const
{
    return requiresKeys_;
}

const std::vector<Customer> &RouteTable::customers() const
{
    return customers_;
}

const Customer *RouteTable::findCustomer(std::string_view key) const
{
    const auto position = keys_.find(key);
    return position ? &customers_[*position] : nullptr;
}

bool RouteTable::isLimited(const CustomerName &customer) const
{
    return limitedCustomers_.contains(customer);
}

ServiceName chooseService(const Route &route, std::uint64_t random)
{
    const std::uint64_t total = totalWeight(route);
    if (total == 0) {
        return {};
    }
    std::uint64_t left = random % total;
    for (const WeightedService &choice : route.services) {
        if (left < choice.weight) {
            return choice.service;
        }
        left -= choice.weight;
    }
    return {};
}

} // namespace persimmonlb
