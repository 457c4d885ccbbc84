#pragma once

#include <string_view>

/// The benchmark program: each source measures one subject and registers it
/// with a `group_of_figures` at namespace scope.
namespace berylhill::bench
{

/// Prints one line `name=value unit`. Not thread-safe.
void print_figure(std::string_view name, double value, std::string_view unit);

/// Registers a function that measures and prints one group of figures. Groups
/// run in the order of their names, each on the main thread.
class group_of_figures
{
public:
    group_of_figures(char const* name, void (*run)());
};

} // namespace berylhill::bench
