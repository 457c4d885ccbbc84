#pragma once

#include <base/result.hpp>
#include <base/time.hpp>
#include <stream/batch.hpp>

#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace berylhill::stream
{

/// The value of a key at a version; without a value the key is erased.
struct keyed_entry
{
    std::string key;
    /// Rises with each change of this key, for example the offset of the
    /// change that was accepted.
    std::int64_t version{0};
    std::optional<Json::Value> value;

    friend bool operator==(keyed_entry const&, keyed_entry const&) = default;
};

[[nodiscard]] Json::Value to_json(keyed_entry const& it);

/// Fails with `invalid`.
[[nodiscard]] base::result<keyed_entry> keyed_entry_from(Json::Value const& it);

struct keyed_options
{
    /// A key is written again when its last record is this old; well below
    /// what the log's retention keeps.
    base::duration rewrite_after{std::chrono::minutes{10}};
    /// How long an erased key's version is remembered.
    base::duration remember_erased{std::chrono::hours{1}};
};

/// Live state that outlasts the log's retention: folds keyed entries, and says
/// which have to be written again before their records are dropped. A
/// re-published record never reverts a later version. A value; not
/// thread-safe.
class keyed_state
{
public:
    explicit keyed_state(keyed_options options = {});

    /// Folds the entry at this place in the log. False when a later version is
    /// known already; then nothing changes.
    bool apply(position at, keyed_entry const& it, base::instant now);

    /// Null where the key does not exist. Valid until the next change.
    [[nodiscard]] Json::Value const* find(std::string const& key) const;
    [[nodiscard]] std::int64_t version_of(std::string const& key) const;

    /// At most `most` entries to write again, unchanged: the oldest, and those
    /// that lie in the oldest quarter of what the log keeps, `first` to
    /// `next`, once it has begun to drop records. Each is named again only
    /// after it was read back or `not_rewritten`.
    [[nodiscard]] std::vector<keyed_entry> due(std::int64_t first,
                                               std::int64_t next,
                                               std::size_t most,
                                               base::instant now);

    /// The append of an entry that was `due` has failed: it is due again.
    void not_rewritten(std::string const& key);

    /// Forgets erased keys that are old enough.
    void expire(base::instant now);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_rows.size();
    }

private:
    struct row
    {
        std::int64_t version{0};
        std::optional<Json::Value> value;
        position at;
        base::instant seen{};
    };

    keyed_options m_options;
    std::map<std::string, row> m_rows;
    /// Live keys by the place of their last record.
    std::map<position, std::string> m_by_position;
    std::set<std::string> m_rewriting;
};

} // namespace berylhill::stream
