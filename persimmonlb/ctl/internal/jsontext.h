#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace persimmonlb
{

/// An object; empty when `body` holds none.
nlohmann::json parseObject(const std::string &body);

/// Field `key` as text: a string bare, "yes"/"no" for a boolean, "" when missing.
std::string textOf(const nlohmann::json &object, const char *key);

/// Field `key` as a number; 0 when missing.
std::int64_t numberOf(const nlohmann::json &object, const char *key);

/// Field `key` as an array; empty when missing.
const nlohmann::json &arrayOf(const nlohmann::json &object, const char *key);
/// A temporary would be gone before its array is read.
const nlohmann::json &arrayOf(nlohmann::json &&object, const char *key) = delete;

} // namespace persimmonlb
