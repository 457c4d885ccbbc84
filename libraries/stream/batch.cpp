#include <stream/batch.hpp>

#include <model/json.hpp>

namespace berylhill::stream
{

std::string body_of(std::string_view writer,
                    std::int64_t sequence,
                    std::vector<std::string> const& entries)
{
    auto body = "{\"writer\":" + model::text_of(std::string{writer}) +
                ",\"sequence\":" + std::to_string(sequence) + ",\"entries\":[";
    auto first = true;
    for (auto const& it : entries)
    {
        if (!first)
        {
            body += ',';
        }
        body += it;
        first = false;
    }
    return body + "]}";
}

base::result<batch> batch_from(std::string_view body)
{
    BOOST_LEAF_AUTO(value, model::parse_json(body));
    if (!value.isObject() || !value["writer"].isString() ||
        !value["sequence"].isInt64() || !value["entries"].isArray())
    {
        return base::fail(base::failure_code::invalid,
                          "a record without writer, sequence or entries");
    }
    batch it;
    it.writer = value["writer"].asString();
    it.sequence = value["sequence"].asInt64();
    for (auto& entry : value["entries"])
    {
        it.entries.push_back(std::move(entry));
    }
    return it;
}

} // namespace berylhill::stream
