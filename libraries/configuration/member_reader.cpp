#include <configuration/member_reader.hpp>

#include <model/json.hpp>

namespace berylhill::configuration
{

namespace
{

base::result<Json::Value>
member(Json::Value const& it, char const* name, bool (Json::Value::*is)() const)
{
    if (!it.isObject() || !it.isMember(name) || !(it[name].*is)())
    {
        return base::fail(base::failure_code::invalid,
                          std::string{name} +
                              " is missing or has the wrong type");
    }
    return it[name];
}

} // namespace

base::result<std::string> text_in(Json::Value const& it, char const* name)
{
    BOOST_LEAF_AUTO(value, member(it, name, &Json::Value::isString));
    return value.asString();
}

base::result<std::int64_t> integer_in(Json::Value const& it, char const* name)
{
    BOOST_LEAF_AUTO(value, member(it, name, &Json::Value::isInt64));
    return value.asInt64();
}

base::result<bool> flag_in(Json::Value const& it, char const* name)
{
    BOOST_LEAF_AUTO(value, member(it, name, &Json::Value::isBool));
    return value.asBool();
}

base::result<Json::Value> list_in(Json::Value const& it, char const* name)
{
    return member(it, name, &Json::Value::isArray);
}

base::result<std::vector<std::string>> texts_in(Json::Value const& it,
                                                char const* name)
{
    BOOST_LEAF_AUTO(list, list_in(it, name));
    std::vector<std::string> out;
    for (auto const& item : list)
    {
        if (!item.isString())
        {
            return base::fail(base::failure_code::invalid,
                              std::string{name} + " holds something not text");
        }
        out.push_back(item.asString());
    }
    return out;
}

base::result<model::endpoint_kind> endpoint_kind_in(Json::Value const& it,
                                                    char const* name)
{
    BOOST_LEAF_AUTO(word, text_in(it, name));
    return model::enum_from<model::endpoint_kind>(word);
}

} // namespace berylhill::configuration
