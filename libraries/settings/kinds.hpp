#pragma once

#include <settings/value_kind.hpp>

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// The kinds of values that schemas are put together from.
namespace berylhill::settings
{

inline constexpr std::int64_t s_no_limit =
    std::numeric_limits<std::int64_t>::max();

/// A whole number from `least` to `most`, both included.
[[nodiscard]] kind_pointer<std::int64_t>
integer(std::int64_t least, std::int64_t most = s_no_limit);

/// The same for the narrower members of `model`.
[[nodiscard]] kind_pointer<std::int32_t> small_integer(std::int32_t least,
                                                       std::int32_t most);

/// A number from `least` to `most`, both included.
[[nodiscard]] kind_pointer<double> number(double least, double most);

/// Any text up to `longest` bytes.
[[nodiscard]] kind_pointer<std::string> text(std::size_t longest);

/// 1 to 64 lower-case letters, digits, hyphens and dots, beginning with a
/// letter or digit: fit for paths, log keys and file names.
[[nodiscard]] kind_pointer<std::string> identifier();

/// `IP:port`, for example `10.0.0.1:8080` or `[::1]:8080`. Names are refused:
/// instances talk by IP numbers.
[[nodiscard]] kind_pointer<std::string> address();

/// Writes the finding for a value of the wrong type.
[[nodiscard]] base::finding wrong_type(located_value const& it,
                                       std::string_view wanted);

/// JSON text with numbers as people write them: 0.1, not its nearest double.
[[nodiscard]] std::string short_text_of(Json::Value const& it);

/// A list of values of one kind.
template <class T>
class list_kind final : public value_kind<std::vector<T>>
{
public:
    explicit list_kind(kind_pointer<T> item)
        : m_item{std::move(item)}
    {
    }

    [[nodiscard]] std::string name() const override
    {
        return "list of " + m_item->name();
    }

    void read(located_value const& from,
              std::vector<T>& into,
              base::findings& found) const override
    {
        if (!from.json().isArray())
        {
            found.add(wrong_type(from, name()));
            return;
        }
        into.clear();
        for (Json::ArrayIndex i = 0; i < from.json().size(); ++i)
        {
            T value{};
            m_item->read(from.item(i), value, found);
            into.push_back(std::move(value));
        }
    }

    [[nodiscard]] Json::Value write(std::vector<T> const& it) const override
    {
        Json::Value out{Json::arrayValue};
        for (auto const& item : it)
        {
            out.append(m_item->write(item));
        }
        return out;
    }

private:
    kind_pointer<T> m_item;
};

/// An object whose members are names chosen by people.
template <class T>
class map_kind final : public value_kind<std::map<std::string, T>>
{
public:
    explicit map_kind(kind_pointer<T> item)
        : m_item{std::move(item)}
    {
    }

    [[nodiscard]] std::string name() const override
    {
        return "object of names to " + m_item->name();
    }

    void read(located_value const& from,
              std::map<std::string, T>& into,
              base::findings& found) const override
    {
        if (!from.json().isObject())
        {
            found.add(wrong_type(from, name()));
            return;
        }
        into.clear();
        for (auto const& it : from.json().getMemberNames())
        {
            m_item->read(from.member(it), into[it], found);
        }
    }

    [[nodiscard]] Json::Value
    write(std::map<std::string, T> const& it) const override
    {
        Json::Value out{Json::objectValue};
        for (auto const& [key, value] : it)
        {
            out[key] = m_item->write(value);
        }
        return out;
    }

private:
    kind_pointer<T> m_item;
};

/// One of a fixed set of words.
template <class Enum>
class choice_kind final : public value_kind<Enum>
{
public:
    using word = std::pair<Enum, std::string_view>;

    explicit choice_kind(std::vector<word> words)
        : m_words{std::move(words)}
    {
    }

    [[nodiscard]] std::string name() const override
    {
        std::string out;
        for (auto const& it : m_words)
        {
            out += (out.empty() ? "" : " or ") + std::string{it.second};
        }
        return out;
    }

    void read(located_value const& from,
              Enum& into,
              base::findings& found) const override
    {
        if (!from.json().isString())
        {
            found.add(wrong_type(from, name()));
            return;
        }
        auto const written = from.json().asString();
        std::vector<std::string> known;
        for (auto const& it : m_words)
        {
            if (it.second == written)
            {
                into = it.first;
                return;
            }
            known.emplace_back(it.second);
        }
        auto const nearest = base::nearest_name(written, known);
        found.add(from.wrong(
            "\"" + written + "\" is not " + name() +
            (nearest.empty() ? "" : "; did you mean " + nearest + "?")));
    }

    [[nodiscard]] Json::Value write(Enum const& it) const override
    {
        for (auto const& known : m_words)
        {
            if (known.first == it)
            {
                return std::string{known.second};
            }
        }
        return {};
    }

private:
    std::vector<word> m_words;
};

template <class T>
[[nodiscard]] kind_pointer<std::vector<T>> list_of(kind_pointer<T> item)
{
    return std::make_shared<list_kind<T>>(std::move(item));
}

template <class T>
[[nodiscard]] kind_pointer<std::map<std::string, T>>
map_of(kind_pointer<T> item)
{
    return std::make_shared<map_kind<T>>(std::move(item));
}

/// One of these words.
template <class Enum>
[[nodiscard]] kind_pointer<Enum>
choice(std::vector<std::pair<Enum, std::string_view>> words)
{
    return std::make_shared<choice_kind<Enum>>(std::move(words));
}

/// One of these enumerators, by the name that `name_of` gives (found by
/// argument-dependent lookup).
template <class Enum>
[[nodiscard]] kind_pointer<Enum>
choice_of_names(std::initializer_list<Enum> values)
{
    std::vector<std::pair<Enum, std::string_view>> words;
    for (auto const it : values)
    {
        words.emplace_back(it, name_of(it));
    }
    return choice(std::move(words));
}

} // namespace berylhill::settings
