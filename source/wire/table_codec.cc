#include "wire/table_codec.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace wisteriayoke {
namespace {

using Json = nlohmann::ordered_json;

/// Reports an error in the tables from the nested readers to `ParseTableSpec`.
class TableError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Reads the fields of one JSON object and rejects unknown fields.
class FieldReader {
 public:
  FieldReader(const Json& object, std::string where)
      : object_(object), where_(std::move(where)) {
    if (!object.is_object()) throw TableError(where_ + " must be an object.");
  }

  template <typename Value>
  Value Get(const std::string& name, Value fallback) {
    read_fields_.insert(name);
    const auto found = object_.find(name);
    if (found == object_.end()) return fallback;
    if constexpr (std::is_unsigned_v<Value> && !std::is_same_v<Value, bool>) {
      CheckUnsigned<Value>(name, *found);
    }
    try {
      return found->template get<Value>();
    } catch (const Json::exception&) {
      throw TableError(Describe(name) + " has the wrong type.");
    }
  }

  template <typename Table>
  auto GetEnum(const std::string& name, const Table& table,
               std::string_view fallback) {
    const auto text = Get<std::string>(name, std::string(fallback));
    const auto value = table.Find(text);
    if (!value) {
      throw TableError(Describe(name) + " has the unknown value \"" + text +
                       "\".");
    }
    return *value;
  }

  /// Returns the list called `name`, or null.
  const Json* GetList(const std::string& name) {
    read_fields_.insert(name);
    const auto found = object_.find(name);
    if (found == object_.end()) return nullptr;
    if (!found->is_array()) {
      throw TableError(Describe(name) + " must be a list.");
    }
    return &*found;
  }

  /// Returns the object called `name`, or null.
  const Json* GetObject(const std::string& name) {
    read_fields_.insert(name);
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
  }

  /// Throws if the object has a field that was not read.
  void RejectUnknownFields() const {
    for (const auto& [name, value] : object_.items()) {
      if (!read_fields_.contains(name)) {
        throw TableError(Describe(name) + " is not a known field; remove it.");
      }
    }
  }

  std::string Describe(const std::string& name) const {
    return where_ + ": field \"" + name + "\"";
  }

 private:
  /// Throws if `value` is a number that a `Value` can't hold exactly.
  template <typename Value>
  void CheckUnsigned(const std::string& name, const Json& value) const {
    constexpr auto kMax = std::numeric_limits<Value>::max();
    if (!value.is_number()) return;
    if (value.is_number_unsigned() && value.get<std::uint64_t>() <= kMax) {
      return;
    }
    throw TableError(Describe(name) + " must be a whole number from 0 to " +
                     std::to_string(kMax) + ".");
  }

  const Json& object_;
  std::string where_;
  std::set<std::string> read_fields_;
};

template <typename Entry, typename Reader>
std::vector<Entry> ReadList(FieldReader& owner, const std::string& name,
                            Reader read) {
  std::vector<Entry> entries;
  const Json* list = owner.GetList(name);
  if (list == nullptr) return entries;
  for (std::size_t i = 0; i < list->size(); ++i) {
    FieldReader reader((*list)[i], name + "[" + std::to_string(i) + "]");
    entries.push_back(read(reader));
    reader.RejectUnknownFields();
  }
  return entries;
}

Workspace ReadWorkspace(FieldReader& reader) {
  Workspace workspace;
  workspace.name = WorkspaceName(reader.Get<std::string>("name", ""));
  workspace.weight = reader.Get<std::uint32_t>("weight", 1);
  return workspace;
}

Route ReadRoute(FieldReader& reader) {
  Route route;
  route.name = RouteName(reader.Get<std::string>("name", ""));
  route.path_prefix = reader.Get<std::string>("prefix", "");
  route.pool = PoolName(reader.Get<std::string>("pool", ""));
  route.kind = reader.GetEnum("kind", kRouteKindNames, "model");
  route.idempotent = reader.Get<bool>("idempotent", true);
  route.priority = reader.GetEnum("priority", kPriorityNames, "normal");
  const auto deadline = reader.Get<std::int64_t>("deadline_ms", 60'000);
  route.deadline = std::chrono::milliseconds(deadline);
  return route;
}

Endpoint ReadEndpoint(FieldReader& reader) {
  LastReason reason;
  const auto endpoint =
      ParseEndpoint(reader.Get<std::string>("address", ""), reason);
  if (!endpoint) {
    throw TableError(reader.Describe("address") + ": " + reason.message());
  }
  return *endpoint;
}

UpstreamSpec ReadUpstream(FieldReader& reader) {
  UpstreamSpec upstream;
  upstream.name = UpstreamName(reader.Get<std::string>("name", ""));
  upstream.endpoint = ReadEndpoint(reader);
  upstream.data_centre =
      DataCentreName(reader.Get<std::string>("data_centre", ""));
  upstream.accelerator = reader.Get<std::string>("accelerator", "");
  upstream.layers.first = reader.Get<std::uint32_t>("first_layer", 0);
  upstream.layers.end = reader.Get<std::uint32_t>("end_layer", 0);
  upstream.slots = reader.Get<std::uint32_t>("slots", upstream.slots);
  upstream.role = reader.GetEnum("role", kEngineRoleNames, "general");
  return upstream;
}

std::optional<PlacementSpec> ReadPlacement(FieldReader& owner) {
  const Json* object = owner.GetObject("placement");
  if (object == nullptr) return std::nullopt;
  FieldReader reader(*object, owner.Describe("placement"));
  PlacementSpec placement;
  placement.version = reader.Get<std::string>("version", "");
  placement.adapters = reader.Get<std::vector<std::string>>("adapters", {});
  placement.loads_per_minute =
      reader.Get<std::uint32_t>("loads_per_minute", placement.loads_per_minute);
  reader.RejectUnknownFields();
  return placement;
}

Pool ReadPool(FieldReader& reader) {
  Pool pool;
  pool.name = PoolName(reader.Get<std::string>("name", ""));
  pool.kind = reader.GetEnum("kind", kRouteKindNames, "model");
  pool.model = reader.Get<std::string>("model", "");
  pool.layer_count = reader.Get<std::uint32_t>("layers", 0);
  pool.checks_fencing = reader.Get<bool>("checks_fencing", false);
  pool.placement = ReadPlacement(reader);
  pool.upstreams = ReadList<UpstreamSpec>(reader, "upstreams", ReadUpstream);
  return pool;
}

TableSpec ReadTables(const Json& json) {
  FieldReader reader(json, "tables");
  TableSpec spec;
  spec.workspaces = ReadList<Workspace>(reader, "workspaces", ReadWorkspace);
  spec.routes = ReadList<Route>(reader, "routes", ReadRoute);
  spec.pools = ReadList<Pool>(reader, "pools", ReadPool);
  reader.RejectUnknownFields();
  return spec;
}

Json ToJson(const Workspace& workspace) {
  return {{"name", workspace.name.text()}, {"weight", workspace.weight}};
}

Json ToJson(const Route& route) {
  return {{"name", route.name.text()},
          {"prefix", route.path_prefix},
          {"pool", route.pool.text()},
          {"kind", kRouteKindNames.NameOf(route.kind)},
          {"idempotent", route.idempotent},
          {"priority", kPriorityNames.NameOf(route.priority)},
          {"deadline_ms",
           std::chrono::duration_cast<std::chrono::milliseconds>(route.deadline)
               .count()}};
}

Json ToJson(const UpstreamSpec& upstream) {
  Json json = {{"name", upstream.name.text()},
               {"address", upstream.endpoint.ToString()},
               {"data_centre", upstream.data_centre.text()},
               {"accelerator", upstream.accelerator},
               {"slots", upstream.slots}};
  if (upstream.layers.end > 0) {
    json["first_layer"] = upstream.layers.first;
    json["end_layer"] = upstream.layers.end;
    json["role"] = kEngineRoleNames.NameOf(upstream.role);
  }
  return json;
}

Json ToJson(const PlacementSpec& placement) {
  return {{"version", placement.version},
          {"adapters", placement.adapters},
          {"loads_per_minute", placement.loads_per_minute}};
}

Json ToJson(const Pool& pool);

template <typename Entry>
Json ListToJson(const std::vector<Entry>& entries) {
  Json list = Json::array();
  for (const auto& entry : entries) list.push_back(ToJson(entry));
  return list;
}

Json ToJson(const Pool& pool) {
  Json json = {{"name", pool.name.text()},
               {"kind", kRouteKindNames.NameOf(pool.kind)},
               {"model", pool.model},
               {"layers", pool.layer_count},
               {"checks_fencing", pool.checks_fencing}};
  if (pool.placement) json["placement"] = ToJson(*pool.placement);
  json["upstreams"] = ListToJson(pool.upstreams);
  return json;
}

}  // namespace

std::optional<TableSpec> ParseTableSpec(std::string_view json,
                                        LastReason& reason) {
  try {
    return ReadTables(Json::parse(json));
  } catch (const Json::exception& error) {
    reason.Set(ResultCode::kMalformedJson, error.what());
  } catch (const TableError& error) {
    reason.Set(ResultCode::kTableInvalid, error.what());
  }
  return std::nullopt;
}

std::string FormatTableSpec(const TableSpec& spec) {
  constexpr int kIndent = 2;
  const Json json = {{"workspaces", ListToJson(spec.workspaces)},
                     {"routes", ListToJson(spec.routes)},
                     {"pools", ListToJson(spec.pools)}};
  return json.dump(kIndent) + "\n";
}

std::optional<TableVersion> ParseTableHead(std::string_view json,
                                           LastReason& reason) {
  try {
    const Json head = Json::parse(json);
    return TableVersion{head.at("version").get<std::uint64_t>(),
                        head.at("hash").get<std::string>()};
  } catch (const Json::exception& error) {
    reason.Set(ResultCode::kMalformedJson, error.what());
    return std::nullopt;
  }
}

std::string FormatTableHead(const TableVersion& version) {
  return Json{{"version", version.number}, {"hash", version.hash}}.dump();
}

std::optional<Endpoint> ParseEndpoint(std::string_view text,
                                      LastReason& reason) {
  const std::size_t colon = text.rfind(':');
  Endpoint endpoint;
  if (colon != std::string_view::npos) {
    endpoint.host = std::string(text.substr(0, colon));
    const char* end = text.data() + text.size();
    const auto parsed =
        std::from_chars(text.data() + colon + 1, end, endpoint.port);
    std::array<unsigned char, sizeof(in6_addr)> ignored{};
    // inet_pton() reads up to a zero byte, after which anything may follow.
    const bool is_ip =
        endpoint.host.find('\0') == std::string::npos &&
        inet_pton(AF_INET, endpoint.host.c_str(), ignored.data()) == 1;
    if (is_ip && parsed.ec == std::errc() && parsed.ptr == end) {
      return endpoint;
    }
  }
  reason.Set(ResultCode::kFieldInvalid, "\"" + std::string(text) +
                                            "\" is not an address; write it "
                                            "as IP:PORT.");
  return std::nullopt;
}

}  // namespace wisteriayoke
