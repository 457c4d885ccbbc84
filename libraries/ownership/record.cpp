#include <ownership/record.hpp>

namespace berylhill::ownership
{

namespace
{

struct json_writer
{
    Json::Value operator()(join const& it) const
    {
        auto value = tagged("join", it.incarnation);
        value["instance"] = it.instance;
        value["zone"] = it.zone;
        return value;
    }
    Json::Value operator()(leave const& it) const
    {
        return tagged("leave", it.incarnation);
    }
    Json::Value operator()(removal const& it) const
    {
        return tagged("remove", it.incarnation);
    }
    Json::Value operator()(seen const& it) const
    {
        auto value = tagged("seen", it.incarnation);
        value["through"] = Json::Int64{it.through};
        return value;
    }
    Json::Value operator()(claim const& it) const
    {
        auto value = tagged("claim", it.incarnation);
        value["unit"] = it.unit;
        value["follows"] = Json::Int64{it.follows};
        return value;
    }
    Json::Value operator()(release const& it) const
    {
        auto value = tagged("release", it.incarnation);
        value["unit"] = it.unit;
        value["epoch"] = Json::Int64{it.epoch};
        if (!it.successor.empty())
        {
            value["successor"] = it.successor;
        }
        return value;
    }
    Json::Value operator()(snapshot const& it) const
    {
        auto value = tagged("snapshot", {});
        value["through"] = Json::Int64{it.through};
        value["table"] = it.table;
        return value;
    }

    static Json::Value tagged(char const* type, std::string const& incarnation)
    {
        Json::Value value{Json::objectValue};
        value["type"] = type;
        if (!incarnation.empty())
        {
            value["incarnation"] = incarnation;
        }
        return value;
    }
};

std::string string_at(Json::Value const& it, char const* name)
{
    return it[name].isString() ? it[name].asString() : std::string{};
}

std::int64_t number_at(Json::Value const& it, char const* name)
{
    return it[name].isInt64() ? it[name].asInt64() : std::int64_t{-1};
}

} // namespace

Json::Value to_json(record const& it)
{
    return std::visit(json_writer{}, it);
}

base::result<record> record_from(Json::Value const& it)
{
    if (!it.isObject())
    {
        return base::fail(base::failure_code::invalid,
                          "ownership record is not a JSON object");
    }
    auto const type = string_at(it, "type");
    auto const incarnation = string_at(it, "incarnation");
    if (type == "join")
    {
        return join{incarnation, string_at(it, "instance"),
                    string_at(it, "zone")};
    }
    if (type == "leave")
    {
        return leave{incarnation};
    }
    if (type == "remove")
    {
        return removal{incarnation};
    }
    if (type == "seen")
    {
        return seen{incarnation, number_at(it, "through")};
    }
    if (type == "claim")
    {
        return claim{string_at(it, "unit"), incarnation,
                     number_at(it, "follows")};
    }
    if (type == "release")
    {
        return release{string_at(it, "unit"), incarnation,
                       number_at(it, "epoch"), string_at(it, "successor")};
    }
    if (type == "snapshot")
    {
        return snapshot{number_at(it, "through"), string_at(it, "table")};
    }
    return base::fail(base::failure_code::invalid,
                      "ownership record of unknown type '" + type + "'");
}

} // namespace berylhill::ownership
