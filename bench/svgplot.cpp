// Sections: [scales] [parts] [marks] [entry point]
#include "bench/svgplot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace Fescuenotch::Bench {

namespace {

constexpr double Width = 760; ///< px
constexpr double Height = 420; ///< px
constexpr double Left = 80; ///< px
constexpr double Right = 240; ///< px; room for the legend
constexpr double Top = 40; ///< px
constexpr double Bottom = 60; ///< px
constexpr double LegendLine = 18; ///< px
constexpr double BarShare = 0.8; ///< of the room of one x
constexpr int YTicks = 5;
constexpr std::array<const char *, 8> Colours{"#1b6ca8", "#d1495b", "#3a7d44", "#edae49", "#6a4c93", "#00798c", "#8d5b4c", "#555555"};

std::string number(double value)
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.4g", value);
    return buf.data();
}

std::string escaped(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        out += c == '<' ? "&lt;" : c == '>' ? "&gt;" : c == '&' ? "&amp;" : c == '"' ? "&quot;" : std::string(1, c);
    }
    return out;
}

// ---- [scales] ---------------------------------------------------------------------------------------------------

bool isNumber(const std::string &text)
{
    char *end = nullptr;
    std::strtod(text.c_str(), &end);
    return !text.empty() && *end == '\0';
}

/// The next 1, 2, 2.5 or 5 times a power of ten.
double roundedUp(double value)
{
    if (value <= 0) {
        return 1;
    }
    const double power = std::pow(10, std::floor(std::log10(value)));
    for (const double step : {1.0, 2.0, 2.5, 5.0}) {
        if (value <= step * power) {
            return step * power;
        }
    }
    return 10 * power;
}

struct Scale {
    double maxY = 1;
    double minX = 0;
    double maxX = 1;

    double y(double value) const
    {
        return Height - Bottom - (Height - Top - Bottom) * value / maxY;
    }
    double x(double value) const
    {
        return Left + (Width - Left - Right) * (maxX == minX ? 0.5 : (value - minX) / (maxX - minX));
    }
};

Scale scaleOf(const Plot &plot, bool lines)
{
    Scale scale;
    double maxY = 0;
    for (const auto &series : plot.series) {
        for (const double y : series.y) {
            maxY = std::isnan(y) ? maxY : std::max(maxY, y);
        }
    }
    scale.maxY = roundedUp(maxY);
    scale.maxX = static_cast<double>(plot.x.size());
    if (lines && !plot.x.empty()) {
        scale.minX = scale.maxX = std::strtod(plot.x[0].c_str(), nullptr);
        for (const auto &x : plot.x) {
            scale.minX = std::min(scale.minX, std::strtod(x.c_str(), nullptr));
            scale.maxX = std::max(scale.maxX, std::strtod(x.c_str(), nullptr));
        }
    }
    return scale;
}

// ---- [parts] ----------------------------------------------------------------------------------------------------

std::string textAt(double x, double y, const std::string &text, const std::string &anchor)
{
    return "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\" text-anchor=\"" + anchor + "\">" + escaped(text) + "</text>\n";
}

std::string lineAt(double x1, double y1, double x2, double y2, const std::string &style)
{
    return "<line x1=\"" + number(x1) + "\" y1=\"" + number(y1) + "\" x2=\"" + number(x2) + "\" y2=\"" + number(y2) + "\" " + style + "/>\n";
}

std::string axes(const Plot &plot, const Scale &scale)
{
    std::string svg;
    for (int n = 0; n <= YTicks; ++n) {
        const double value = scale.maxY * n / YTicks;
        svg += lineAt(Left, scale.y(value), Width - Right, scale.y(value), "stroke=\"#dddddd\"");
        svg += textAt(Left - 6, scale.y(value) + 4, number(value), "end");
    }
    svg += lineAt(Left, Height - Bottom, Width - Right, Height - Bottom, "stroke=\"#333333\"");
    svg += textAt((Left + Width - Right) / 2, Height - 14, plot.xName, "middle");
    svg += textAt(8, Top - 10, plot.yName, "start");
    return svg;
}

std::string legend(const Plot &plot)
{
    std::string svg;
    for (std::size_t n = 0; n < plot.series.size(); ++n) {
        const double y = Top + LegendLine * static_cast<double>(n);
        svg += "<rect x=\"" + number(Width - Right + 14) + "\" y=\"" + number(y) + "\" width=\"10\" height=\"10\" fill=\"" + Colours[n % Colours.size()]
            + "\"/>\n";
        svg += textAt(Width - Right + 30, y + 9, plot.series[n].name, "start");
    }
    return svg;
}

// ---- [marks] ----------------------------------------------------------------------------------------------------

std::string lines(const Plot &plot, const Scale &scale)
{
    std::string svg;
    for (const auto &x : plot.x) {
        svg += textAt(scale.x(std::strtod(x.c_str(), nullptr)), Height - Bottom + 18, x, "middle");
    }
    for (std::size_t n = 0; n < plot.series.size(); ++n) {
        const std::string colour = Colours[n % Colours.size()];
        std::string points;
        for (std::size_t k = 0; k < plot.x.size(); ++k) {
            if (std::isnan(plot.series[n].y[k])) {
                continue;
            }
            const std::string x = number(scale.x(std::strtod(plot.x[k].c_str(), nullptr)));
            const std::string y = number(scale.y(plot.series[n].y[k]));
            points += x + "," + y + " ";
            svg += "<circle cx=\"" + x + "\" cy=\"" + y + "\" r=\"3\" fill=\"" + colour + "\"/>\n";
        }
        svg += "<polyline points=\"" + points + "\" fill=\"none\" stroke=\"" + colour + "\" stroke-width=\"2\"/>\n";
    }
    return svg;
}

std::string bars(const Plot &plot, const Scale &scale)
{
    std::string svg;
    const double room = (Width - Left - Right) / std::max(1.0, static_cast<double>(plot.x.size()));
    const double width = room * BarShare / std::max(1.0, static_cast<double>(plot.series.size()));
    for (std::size_t k = 0; k < plot.x.size(); ++k) {
        const double start = Left + room * (static_cast<double>(k) + (1 - BarShare) / 2);
        svg += textAt(Left + room * (static_cast<double>(k) + 0.5), Height - Bottom + 18, plot.x[k], "middle");
        for (std::size_t n = 0; n < plot.series.size(); ++n) {
            const double value = plot.series[n].y[k];
            if (std::isnan(value)) {
                continue;
            }
            svg += "<rect x=\"" + number(start + width * static_cast<double>(n)) + "\" y=\"" + number(scale.y(value)) + "\" width=\"" + number(width)
                + "\" height=\"" + number(scale.y(0) - scale.y(value)) + "\" fill=\"" + Colours[n % Colours.size()] + "\"/>\n";
        }
    }
    return svg;
}

} // namespace

// ---- [entry point] ----------------------------------------------------------------------------------------------

std::string toSvg(const Plot &plot)
{
    const bool isLine = std::all_of(plot.x.begin(), plot.x.end(), isNumber);
    const Scale scale = scaleOf(plot, isLine);
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + number(Width) + "\" height=\"" + number(Height)
        + "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    svg += "<text x=\"" + number(Left) + "\" y=\"18\" font-size=\"14\" font-weight=\"bold\">" + escaped(plot.title) + "</text>\n";
    svg += axes(plot, scale);
    svg += isLine ? lines(plot, scale) : bars(plot, scale);
    svg += legend(plot);
    return svg + "</svg>\n";
}

} // namespace Fescuenotch::Bench
