#pragma once

#include <base/result.hpp>
#include <base/time.hpp>
#include <platform/log_service.hpp>
#include <stream/batch.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace berylhill::stream
{

struct writer_options
{
    /// Unique to this process's life and this writer.
    std::string writer;
    /// This instance's share of what the log takes.
    double appends_per_s{30};
    std::size_t most_pending{10'000};
    std::size_t most_pending_bytes{16U << 20U};
    std::size_t most_batch{1'000};
    std::size_t most_batch_bytes{256U << 10U};
    /// How long the log may fail before what waits for it is refused.
    base::duration patience{std::chrono::milliseconds{500}};
    base::duration first_retry{std::chrono::milliseconds{50}};
    base::duration longest_retry{std::chrono::seconds{1}};
};

/// The next thing to do for the thread that speaks to the log.
struct wait_until
{
    /// Empty where only a new entry gives work.
    std::optional<base::instant> at;
};

struct append_record
{
    std::string body;
};

struct read_back
{
    std::int64_t from{0};
    std::int32_t most{0};
};

using writer_step = std::variant<wait_until, append_record, read_back>;

/// The end of one submitted entry.
struct settled
{
    std::uint64_t ticket{0};
    base::outcome<position> result;
};

/// Decides for one stream what is appended when, and how an append whose
/// answer was lost ends. Pure; not thread-safe.
///
/// One append is in flight at a time. After a lost answer the writer reads
/// back from the last offset that it knows. Where the record is not there, it
/// appends a fence, a record with a higher sequence, and reads again: a record
/// that is not before the fence is dropped by every reader (`deduplicator`),
/// so its entries can be written again under a new sequence. An entry is
/// therefore never reported as not written and found later.
class writer_state
{
public:
    explicit writer_state(writer_options options);

    /// Takes the entry, JSON text, or refuses it: `refused` when the bound on
    /// what waits is reached, `unavailable` while the log is known to be down.
    [[nodiscard]] std::optional<base::failure>
    submit(std::uint64_t ticket, std::string text, base::instant now);

    /// What to do now. Precondition: the previous step other than `wait_until`
    /// has been answered.
    [[nodiscard]] writer_step next(base::instant now);

    /// Answers `append_record`.
    [[nodiscard]] std::vector<settled>
    appended(base::outcome<std::int64_t> const& answer, base::instant now);

    /// Answers `read_back`.
    [[nodiscard]] std::vector<settled>
    read(base::outcome<platform::log_page> const& answer, base::instant now);

    /// Ends what is left: entries never sent are `unavailable`, the others
    /// `outcome_unknown`.
    [[nodiscard]] std::vector<settled> abandon();

    /// The log has failed for longer than `patience`.
    [[nodiscard]] bool down() const noexcept
    {
        return m_down;
    }
    /// Entries that wait or are in flight.
    [[nodiscard]] std::size_t pending() const noexcept
    {
        return m_queue.size() + m_sent.size();
    }
    [[nodiscard]] std::uint64_t appends() const noexcept
    {
        return m_appends;
    }
    [[nodiscard]] std::uint64_t lost_answers() const noexcept
    {
        return m_lost_answers;
    }

private:
    enum class phase : std::uint8_t
    {
        ready,      ///< Nothing in flight and nothing unresolved.
        appending,  ///< A batch is in flight.
        unresolved, ///< A batch's answer was lost; read back next.
        fencing,    ///< Not found: a fence is next or in flight.
    };

    struct waiting
    {
        std::uint64_t ticket{0};
        std::string text;
    };

    [[nodiscard]] writer_step next_batch(base::instant now);
    [[nodiscard]] std::string fence();
    [[nodiscard]] std::vector<settled> committed(std::int64_t offset);
    [[nodiscard]] std::vector<settled> failed(base::instant now,
                                              std::string const& why);
    [[nodiscard]] std::vector<settled> scan(platform::log_page const& page,
                                            base::instant now);
    void succeeded(base::instant now);
    void requeue();
    [[nodiscard]] base::duration interval() const;
    [[nodiscard]] double retry_after_s(base::instant now) const;

    writer_options m_options;
    phase m_phase{phase::ready};
    bool m_down{false};
    std::deque<waiting> m_queue;
    std::size_t m_queued_bytes{0};
    /// The entries of the batch that is in flight or unresolved.
    std::vector<waiting> m_sent;
    std::int64_t m_sequence{0};
    /// Of the batch in `m_sent`.
    std::int64_t m_sent_sequence{0};
    /// No record of the batch in `m_sent` lies before this offset.
    std::optional<std::int64_t> m_known_next;
    std::int64_t m_scanned{0};
    base::instant m_next_append{};
    base::instant m_next_try{};
    std::optional<base::instant> m_failing_since;
    base::duration m_retry{};
    base::duration m_append_time{};
    base::instant m_sent_at{};
    std::uint64_t m_appends{0};
    std::uint64_t m_lost_answers{0};
};

} // namespace berylhill::stream
