#pragma once

#include <base/finding.hpp>
#include <settings/document.hpp>

#include <json/value.h>

#include <memory>
#include <string>
#include <vector>

namespace berylhill::settings
{

/// One line of the reference that `check --defaults` and docs/SETTINGS.md show.
struct field_description
{
    std::string pointer;
    std::string type;
    /// As JSON text; `required` where there is none.
    std::string default_text;
    std::string unit;
    std::string explanation;

    friend bool operator==(field_description const&,
                           field_description const&) = default;
};

/// What values of type T look like in JSON. Immutable and thread-safe.
template <class T>
class value_kind
{
public:
    value_kind() = default;
    value_kind(value_kind const&) = delete;
    value_kind& operator=(value_kind const&) = delete;
    virtual ~value_kind() = default;

    /// For people, for example `integer from 1 to 64`.
    [[nodiscard]] virtual std::string name() const = 0;

    /// Reads `from`; mistakes go to `found` and leave `into` as it was.
    virtual void
    read(located_value const& from, T& into, base::findings& found) const = 0;

    [[nodiscard]] virtual Json::Value write(T const& it) const = 0;

    /// Adds a line for each member below `pointer`; a kind without members
    /// adds none.
    virtual void describe(std::string const& /*pointer*/,
                          T const& /*defaults*/,
                          std::vector<field_description>& /*into*/) const
    {
    }
};

template <class T>
using kind_pointer = std::shared_ptr<value_kind<T> const>;

} // namespace berylhill::settings
