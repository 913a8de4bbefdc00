#pragma once

#include "persimmonlb/state/cborfields.h"
#include "persimmonlb/state/cborvariant.h"
#include "persimmonlb/state/fleetcommand.h"

/// Field lists of the structs of fleetcommand.h. For .cpp files only.
namespace persimmonlb
{

template <>
inline constexpr BulkItemPhase lastEnumerator<BulkItemPhase> = BulkItemPhase::DeadLettered;

template <typename Visitor, Like<PutRoutes> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("version", value.version);
    visitor("text", value.text);
    visitor("at", value.at);
}

template <typename Visitor, Like<TextField> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("name", value.name);
    visitor("value", value.value);
}

template <typename Visitor, Like<BulkItemSpec> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("path", value.path);
    visitor("headers", value.headers);
    visitor("body", value.body);
    visitor("tokens", value.tokens);
}

template <typename Visitor, Like<AcceptBulk> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("route", value.route);
    visitor("host", value.host);
    visitor("items", value.items);
    visitor("maxWaitingTokens", value.maxWaitingTokens);
    visitor("maxAttempts", value.maxAttempts);
    visitor("dueAfter", value.dueAfter);
    visitor("abandonAfter", value.abandonAfter);
    visitor("keepFor", value.keepFor);
    visitor("at", value.at);
    visitor("customer", value.customer);
}

template <typename Visitor, Like<BulkOutcome> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("index", value.index);
    visitor("phase", value.phase);
    visitor("attempt", value.attempt);
    visitor("fromCount", value.fromCount);
    visitor("output", value.output);
}

template <typename Visitor, Like<RecordBulk> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("outcomes", value.outcomes);
    visitor("at", value.at);
}

template <typename Visitor, Like<BulkProgress> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("index", value.index);
    visitor("fromCount", value.fromCount);
    visitor("count", value.count);
    visitor("lastEventId", value.lastEventId);
    visitor("output", value.output);
}

template <typename Visitor, Like<SaveBulkProgress> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("parts", value.parts);
    visitor("at", value.at);
}

template <typename Visitor, Like<SaveFleet> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("view", value.view);
    visitor("at", value.at);
}

template <typename Visitor, Like<EndBulk> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("at", value.at);
}

template <typename Visitor, Like<RetireStore> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("name", value.name);
    visitor("at", value.at);
}

template <typename Visitor, Like<RoutesQuery> Value>
void visitFields(Visitor & /*visitor*/, Value & /*value*/)
{
}

template <typename Visitor, Like<RoutesAnswer> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("version", value.version);
    visitor("text", value.text);
}

template <typename Visitor, Like<BulkPageQuery> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("after", value.after);
    visitor("maxBytes", value.maxBytes);
}

template <typename Visitor, Like<BulkResult> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("phase", value.phase);
    visitor("output", value.output);
}

template <typename Visitor, Like<BulkPage> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("found", value.found);
    visitor("total", value.total);
    visitor("results", value.results);
}

template <typename Visitor, Like<BulkBodyQuery> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("item", value.item);
}

template <typename Visitor, Like<BulkBody> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("found", value.found);
    visitor("body", value.body);
}

template <typename Visitor, Like<RetiredStoresQuery> Value>
void visitFields(Visitor & /*visitor*/, Value & /*value*/)
{
}

template <typename Visitor, Like<RetiredStores> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("names", value.names);
}

template <>
inline constexpr std::string_view typeName<PutRoutes> = "put_routes";
template <>
inline constexpr std::string_view typeName<AcceptBulk> = "accept_bulk";
template <>
inline constexpr std::string_view typeName<RecordBulk> = "record_bulk";
template <>
inline constexpr std::string_view typeName<EndBulk> = "end_bulk";
template <>
inline constexpr std::string_view typeName<RetireStore> = "retire_store";
template <>
inline constexpr std::string_view typeName<SaveBulkProgress> = "save_bulk_progress";
template <>
inline constexpr std::string_view typeName<SaveFleet> = "save_fleet";
template <>
inline constexpr std::string_view typeName<RoutesQuery> = "routes_query";
template <>
inline constexpr std::string_view typeName<RoutesAnswer> = "routes_answer";
template <>
inline constexpr std::string_view typeName<BulkPageQuery> = "bulk_page_query";
template <>
inline constexpr std::string_view typeName<BulkPage> = "bulk_page";
template <>
inline constexpr std::string_view typeName<BulkBodyQuery> = "bulk_body_query";
template <>
inline constexpr std::string_view typeName<BulkBody> = "bulk_body";
template <>
inline constexpr std::string_view typeName<RetiredStoresQuery> = "retired_stores_query";
template <>
inline constexpr std::string_view typeName<RetiredStores> = "retired_stores";

} // namespace persimmonlb
