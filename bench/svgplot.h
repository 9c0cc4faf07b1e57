// Small plots as SVG text: lines over numbers, bars over categories. The y axis starts at 0.
#pragma once

#include <string>
#include <vector>

namespace Fescuenotch::Bench {

struct PlotSeries {
    std::string name;
    std::vector<double> y; ///< one per x; NaN: missing
};

struct Plot {
    std::string title;
    std::string xName;
    std::string yName; ///< with its unit
    std::vector<std::string> x;
    std::vector<PlotSeries> series;
};

/// A line plot when every x is a number, else bars.
std::string toSvg(const Plot &plot);

} // namespace Fescuenotch::Bench
