/// Line-by-line differences between two texts.
#pragma once

#include <string>
#include <string_view>

namespace laburnum::ctl {

/// The lines that were removed (`-`) and added (`+`) from `before` to `after`, each group after a
/// line `@@ -LINE +LINE @@`. Empty when the texts are equal.
std::string diffLines(std::string_view before, std::string_view after);

} // namespace laburnum::ctl
