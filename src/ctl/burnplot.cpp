/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "ctl/burnplot.h"

#include "ctl/output.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Cloverbarrow
{

namespace
{

constexpr int LabelWidth = 330;
constexpr int PlotWidth = 420;
constexpr int BarHeight = 9;
constexpr int RowHeight = 40;
constexpr int TopMargin = 50;
constexpr double LowestRate = 0.01;
constexpr double HighestRate = 1000;
constexpr std::array<const char *, BurnWindows.size()> Colours = {"#4c78a8", "#72b7b2", "#b8b8b8"};
constexpr std::array<const char *, BurnWindows.size()> WindowNames = {"5 min", "1 h", "6 h"};

double position(double rate)
{
    const double clamped = std::clamp(rate, LowestRate, HighestRate);
    return PlotWidth * std::log10(clamped / LowestRate) / std::log10(HighestRate / LowestRate);
}

std::string escaped(const std::string &text)
{
    std::string safe;
    for (const char character : text) {
        switch (character) {
        case '&':
            safe += "&amp;";
            break;
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        default:
            safe += character;
        }
    }
    return safe;
}

std::string textAt(double x, double y, const std::string &text)
{
    return "<text x=\"" + formatFixed(x, 0) + "\" y=\"" + formatFixed(y, 0) + "\">" + escaped(text) + "</text>\n";
}

std::string bar(int y, double width, const char *colour)
{
    return "<rect x=\"" + std::to_string(LabelWidth) + "\" y=\"" + std::to_string(y) + "\" width=\"" + formatFixed(width, 1) + "\" height=\""
        + std::to_string(BarHeight) + "\" fill=\"" + colour + "\"/>\n";
}

} // namespace

std::string burnPlot(std::span<const BurnLine> lines, bool isComplete)
{
    const int height = TopMargin + RowHeight * static_cast<int>(lines.size()) + RowHeight;
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + std::to_string(LabelWidth + PlotWidth + 60) + "\" height=\""
        + std::to_string(height) + "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    svg += textAt(
        10, 20, std::string("Burn rate of error budgets; 1 uses a budget up exactly in time") + (isComplete ? "" : " (PARTIAL: not all entry VMs answered)"));
    for (std::size_t window = 0; window < WindowNames.size(); ++window) {
        svg += "<rect x=\"" + std::to_string(LabelWidth + 80 * static_cast<int>(window)) + "\" y=\"28\" width=\"9\" height=\"9\" fill=\"" + Colours[window]
            + "\"/>\n";
        svg += textAt(LabelWidth + 80.0 * static_cast<double>(window) + 14, 37, WindowNames[window]);
    }
    const std::string rateOneX = formatFixed(LabelWidth + position(1), 1);
    svg += "<line x1=\"" + rateOneX + "\" y1=\"" + std::to_string(TopMargin) + "\" x2=\"" + rateOneX + "\" y2=\"" + std::to_string(height - RowHeight)
        + "\" stroke=\"#d62728\"/>\n";
    int y = TopMargin;
    for (const BurnLine &line : lines) {
        svg += textAt(
            10, y + 18, line.service + " / " + line.kind + " " + std::string(toString(line.indicator)) + " " + formatFixed(line.objectivePercent, 2) + "%");
        for (std::size_t window = 0; window < line.rates.size(); ++window) {
            svg += bar(y + static_cast<int>(window) * (BarHeight + 1) + 4, position(line.rates[window]), Colours[window]);
        }
        y += RowHeight;
    }
    return svg + "</svg>\n";
}

} // namespace Cloverbarrow
