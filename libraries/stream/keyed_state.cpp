#include <stream/keyed_state.hpp>

namespace berylhill::stream
{

namespace
{

/// Part of what the log keeps within which records are written again.
constexpr std::int64_t s_oldest_part = 4;

} // namespace

Json::Value to_json(keyed_entry const& it)
{
    Json::Value value{Json::objectValue};
    value["key"] = it.key;
    value["version"] = Json::Int64{it.version};
    if (it.value)
    {
        value["value"] = *it.value;
    }
    return value;
}

base::result<keyed_entry> keyed_entry_from(Json::Value const& it)
{
    if (!it.isObject() || !it["key"].isString() || !it["version"].isInt64())
    {
        return base::fail(base::failure_code::invalid,
                          "a keyed entry without key or version");
    }
    keyed_entry entry{it["key"].asString(), it["version"].asInt64(), {}};
    if (it.isMember("value"))
    {
        entry.value = it["value"];
    }
    return entry;
}

keyed_state::keyed_state(keyed_options options)
    : m_options{options}
{
}

/// Guards against an older value coming back: a record written again by a
/// process that had not yet read a later version, or delayed in the log, shows
/// up behind that version. Versions only rise, so it is dropped.
bool keyed_state::apply(position at, keyed_entry const& it, base::instant now)
{
    auto& known = m_rows[it.key];
    auto const is_new = known.version == 0 && !known.value;
    if (!is_new && it.version < known.version)
    {
        return false;
    }
    auto const is_same = !is_new && it.version == known.version;
    if (known.value)
    {
        m_by_position.erase(known.at);
    }
    m_rewriting.erase(it.key);
    known.at = at;
    known.seen = now;
    if (!is_same)
    {
        known.version = it.version;
        known.value = it.value;
    }
    if (known.value)
    {
        m_by_position.emplace(at, it.key);
    }
    return true;
}

Json::Value const* keyed_state::find(std::string const& key) const
{
    auto const it = m_rows.find(key);
    return it == m_rows.end() || !it->second.value ? nullptr
                                                   : &*it->second.value;
}

std::int64_t keyed_state::version_of(std::string const& key) const
{
    auto const it = m_rows.find(key);
    return it == m_rows.end() ? 0 : it->second.version;
}

std::vector<keyed_entry> keyed_state::due(std::int64_t first,
                                          std::int64_t next,
                                          std::size_t most,
                                          base::instant now)
{
    auto const edge =
        first == 0 ? std::int64_t{0} : first + (next - first) / s_oldest_part;
    std::vector<keyed_entry> found;
    for (auto const& [at, key] : m_by_position)
    {
        auto const& it = m_rows.at(key);
        auto const is_due =
            at.offset < edge || now - it.seen >= m_options.rewrite_after;
        if (found.size() >= most || !is_due)
        {
            break;
        }
        if (m_rewriting.insert(key).second)
        {
            found.push_back({key, it.version, it.value});
        }
    }
    return found;
}

void keyed_state::not_rewritten(std::string const& key)
{
    m_rewriting.erase(key);
}

void keyed_state::expire(base::instant now)
{
    std::erase_if(m_rows,
                  [&](auto const& it)
                  {
                      return !it.second.value &&
                             now - it.second.seen >= m_options.remember_erased;
                  });
}

} // namespace berylhill::stream
