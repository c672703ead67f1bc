// Stages: split the text into cells (libcsv), convert rows to typed entries,
// check references between rows, and compute the difference to the current
// state.
#include "rosemaryhook/sheet.h"

#include <csv.h>
#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <optional>
#include <set>

namespace rosemaryhook {
namespace {

constexpr size_t kMaxErrors = 20;
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

using Cells = std::vector<std::string>;

struct Grid {
  std::vector<Cells> rows;
  Cells row;
};

void OnCell(void* data, size_t size, void* user) {
  const char* text = static_cast<const char*>(data);
  static_cast<Grid*>(user)->row.emplace_back(text, text + size);
}

void OnRow(int, void* user) {
  auto* grid = static_cast<Grid*>(user);
  grid->rows.push_back(std::move(grid->row));
  grid->row.clear();
}

// The delimiter: semicolon or comma, whichever the heading row has more of.
char DelimiterOf(std::string_view text) {
  const std::string_view heading = text.substr(0, text.find('\n'));
  const auto semicolons = std::count(heading.begin(), heading.end(), ';');
  const auto commas = std::count(heading.begin(), heading.end(), ',');
  return semicolons > commas ? ';' : ',';
}

int IsCsvSpace(unsigned char c) {
  return c == ' ' || c == '\t' || c == '\r' ? 1 : 0;
}

int IsCsvLineEnd(unsigned char c) {
  return c == '\n' ? 1 : 0;
}

// Keeps blank lines as rows, so that row numbers match the spreadsheet's. Only
// a line feed ends a row; a carriage return before it is white space.
std::optional<Grid> ReadCells(std::string_view text, char delimiter) {
  csv_parser parser;
  csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL);
  csv_set_space_func(&parser, IsCsvSpace);
  csv_set_term_func(&parser, IsCsvLineEnd);
  csv_set_delim(&parser, static_cast<unsigned char>(delimiter));
  Grid grid;
  const bool read = csv_parse(&parser, text.data(), text.size(), OnCell, OnRow,
                              &grid) == text.size() &&
                    csv_fini(&parser, OnCell, OnRow, &grid) == 0;
  csv_free(&parser);
  return read ? std::optional(std::move(grid)) : std::nullopt;
}

// Typed access to the cells of one row. Collects an error for each invalid
// cell.
class RowReader {
 public:
  RowReader(const Cells& heading,
            const Cells& cells,
            size_t row,
            char delimiter,
            std::vector<std::string>* errors)
      : heading_(heading),
        cells_(cells),
        row_(row),
        delimiter_(delimiter),
        errors_(errors) {}

  std::string Text(const std::string& column) const {
    const auto it = std::find(heading_.begin(), heading_.end(), column);
    const size_t index = static_cast<size_t>(it - heading_.begin());
    if (index >= cells_.size()) {
      return {};
    }
    const std::string& cell = cells_[index];
    const size_t begin = cell.find_first_not_of(" \t");
    const size_t end = cell.find_last_not_of(" \t");
    return begin == std::string::npos ? ""
                                      : cell.substr(begin, end - begin + 1);
  }

  void ReportError(const std::string& column,
                   const std::string& expected) const {
    if (errors_->size() < kMaxErrors) {
      errors_->push_back(
          fmt::format("row {}, column {}: expected {}, not \"{}\"", row_,
                      column, expected, Text(column)));
    }
  }

  // Names are used in row keys and headers, where these characters are special.
  std::string Name(const std::string& column) const {
    std::string text = Text(column);
    const bool is_plain =
        !text.empty() && std::none_of(text.begin(), text.end(), [](char c) {
          return static_cast<unsigned char>(c) < 0x20 || c == '/' || c == '@' ||
                 c == '"';
        });
    if (!is_plain) {
      ReportError(column, "a name without / @ \" or control characters");
    }
    return text;
  }

  // If semicolons separate the cells, a comma is the decimal separator.
  double Number(const std::string& column,
                double low,
                std::optional<double> fallback = std::nullopt) const {
    std::string text = Text(column);
    if (text.empty() && fallback) {
      return *fallback;
    }
    if (delimiter_ == ';') {
      std::replace(text.begin(), text.end(), ',', '.');
    }
    double value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool is_valid = parsed.ec == std::errc() && parsed.ptr == end &&
                          value >= low && value <= 1e12;
    if (!is_valid) {
      ReportError(column, fmt::format("a number of at least {}", low));
    }
    return value;
  }

  int Integer(const std::string& column, int low, int high) const {
    const double value = Number(column, low);
    if (value != static_cast<int>(value) || value > high) {
      ReportError(column,
                  fmt::format("a whole number from {} to {}", low, high));
      return low;
    }
    return static_cast<int>(value);
  }

  bool YesOrNo(const std::string& column, bool fallback) const {
    const std::string text = Text(column);
    if (text.empty()) {
      return fallback;
    }
    if (text != "yes" && text != "no") {
      ReportError(column, "yes, no or an empty cell");
    }
    return text == "yes";
  }

  std::string Address(const std::string& column) const {
    std::string text = Text(column);
    const size_t colon = text.rfind(':');
    int port = 0;
    const char* end = text.data() + text.size();
    const bool has_port =
        colon != std::string::npos && colon > 0 &&
        std::from_chars(text.data() + colon + 1, end, port).ptr == end &&
        port > 0 && port < 65536;
    if (!has_port) {
      ReportError(column, "an address as IP:PORT");
    }
    return text;
  }

  size_t row() const { return row_; }

 private:
  const Cells& heading_;
  const Cells& cells_;
  size_t row_;
  char delimiter_;
  std::vector<std::string>* errors_;
};

template <typename T>
void Insert(const RowReader& row,
            const std::string& column,
            const std::string& name,
            T value,
            std::map<std::string, T>* entries) {
  if (!entries->emplace(name, std::move(value)).second) {
    row.ReportError(column, "a name that no earlier row has");
  }
}

void ReadCustomer(const RowReader& row, FleetState* state) {
  Customer customer{row.Number("rate", 0), row.Number("burst", 0),
                    row.Number("weight", 0.001, 1.0)};
  Insert(row, "name", row.Name("name"), customer, &state->customers);
}

void ReadAdapter(const RowReader& row, FleetState* state) {
  Adapter adapter{row.Name("customer"), row.Name("model")};
  const std::string name = row.Name("name") + "@" + row.Name("version");
  Insert(row, "name", name, adapter, &state->adapters);
}

void ReadBackend(const RowReader& row, BackendKind kind, FleetState* state) {
  const bool is_runner = kind == BackendKind::kRunner;
  Backend backend;
  backend.kind = kind;
  backend.zone = row.Name("zone");
  backend.address = row.Address("address");
  backend.group = row.Name(is_runner ? "model" : "service");
  backend.slots = row.Integer("slots", 1, 4096);
  if (is_runner) {
    backend.adapter_slots = row.Integer("adapter_slots", 1, 4096);
    backend.checks_fencing = row.YesOrNo("fencing", false);
  }
  Insert(row, "name", row.Name("name"), backend, &state->backends);
}

void ReadRoute(const RowReader& row, FleetState* state) {
  Route route;
  route.open = row.YesOrNo("open", false);
  route.customer = route.open ? "" : row.Name("customer");
  route.repeatable = row.YesOrNo("repeatable", true);
  route.service = row.Text("service");
  if (route.service.empty()) {
    route.adapter = row.Name("adapter") + "@" + row.Name("version");
  } else if (!row.Text("adapter").empty()) {
    row.ReportError("adapter", "an empty cell, as the route has a service");
  }
  Insert(row, "name", row.Name("name"), route, &state->routes);
}

void ReadRow(const RowReader& row, FleetState* state) {
  const std::string kind = row.Text("kind");
  if (kind == "customer") {
    ReadCustomer(row, state);
  } else if (kind == "adapter") {
    ReadAdapter(row, state);
  } else if (kind == "runner") {
    ReadBackend(row, BackendKind::kRunner, state);
  } else if (kind == "service") {
    ReadBackend(row, BackendKind::kService, state);
  } else if (kind == "route") {
    ReadRoute(row, state);
  } else if (kind == "store") {
    const Customer store{row.Number("rate", 0.001), row.Number("burst", 1), 1};
    Insert(row, "kind", kWeightStore, store, &state->customers);
  } else {
    row.ReportError("kind",
                    "customer, adapter, runner, service, route or store");
  }
}

bool HasGroup(const FleetState& state,
              BackendKind kind,
              const std::string& group) {
  return std::any_of(
      state.backends.begin(), state.backends.end(), [&](const auto& entry) {
        return entry.second.kind == kind && entry.second.group == group;
      });
}

// Checks the references of a row to others; `state` holds every valid row.
void CheckReferences(const RowReader& row, const FleetState& state) {
  const std::string kind = row.Text("kind");
  const bool is_route = kind == "route";
  const bool is_open = is_route && row.Text("open") == "yes";
  if ((kind == "adapter" || is_route) && !is_open &&
      !state.customers.contains(row.Text("customer"))) {
    row.ReportError("customer", "a customer of this sheet");
  }
  if (kind == "adapter" &&
      !HasGroup(state, BackendKind::kRunner, row.Text("model"))) {
    row.ReportError("model", "the model of a runner of this sheet");
  }
  if (!is_route) {
    return;
  }
  const std::string service = row.Text("service");
  if (!service.empty()) {
    if (!HasGroup(state, BackendKind::kService, service)) {
      row.ReportError("service", "a service of this sheet");
    }
    return;
  }
  const auto adapter =
      state.adapters.find(row.Text("adapter") + "@" + row.Text("version"));
  if (adapter == state.adapters.end()) {
    row.ReportError("version", "a version of an adapter of this sheet");
  } else if (!is_open && adapter->second.customer != row.Text("customer")) {
    row.ReportError("customer",
                    "the adapter's customer, " + adapter->second.customer);
  }
}

const std::set<std::string>& KnownColumns() {
  static const std::set<std::string> columns{
      "kind",    "name",    "customer", "version",    "model", "rate",
      "burst",   "weight",  "zone",     "address",    "slots", "adapter_slots",
      "fencing", "adapter", "service",  "repeatable", "open",  "note"};
  return columns;
}

void CheckHeading(const Cells& heading, std::vector<std::string>* errors) {
  std::set<std::string> seen;
  for (const std::string& column : heading) {
    if (!KnownColumns().contains(column)) {
      errors->push_back(
          fmt::format("row 1, column {}: expected a known column", column));
    } else if (!seen.insert(column).second) {
      errors->push_back(
          fmt::format("row 1, column {}: expected the column once", column));
    }
  }
  for (const char* column : {"kind", "name"}) {
    if (!seen.contains(column)) {
      errors->push_back(
          fmt::format("row 1, column {}: expected the column", column));
    }
  }
}

bool IsBlank(const Cells& cells) {
  return std::all_of(cells.begin(), cells.end(), [](const std::string& cell) {
    return cell.find_first_not_of(" \t\r") == std::string::npos;
  });
}

Error MakeError(const std::string& file,
                const std::vector<std::string>& errors) {
  std::string message = file + ":";
  for (const std::string& error : errors) {
    message += "\n  " + error;
  }
  return Error{Step::kSheet, "", message};
}

template <typename T>
void Compare(Section section,
             const std::map<std::string, T>& wanted,
             const std::map<std::string, T>& current,
             std::vector<Op>* ops) {
  for (const auto& [name, value] : wanted) {
    const auto found = current.find(name);
    if (found == current.end() || !(found->second == value)) {
      ops->push_back(PutOp(section, name, value));
    }
  }
  for (const auto& [name, value] : current) {
    if (!wanted.contains(name)) {
      ops->push_back(DropOp(section, name));
    }
  }
}

bool Exists(const Op& op, const FleetState& current) {
  switch (op.section) {
    case Section::kCustomer:
      return current.customers.contains(op.name);
    case Section::kAdapter:
      return current.adapters.contains(op.name);
    case Section::kBackend:
      return current.backends.contains(op.name);
    case Section::kRoute:
      return current.routes.contains(op.name);
    default:
      return false;
  }
}

}  // namespace

Result<FleetState> ParseSheet(const std::string& text,
                              const std::string& file) {
  std::string_view body = text;
  if (body.starts_with(kByteOrderMark)) {
    body.remove_prefix(kByteOrderMark.size());
  }
  const char delimiter = DelimiterOf(body);
  const auto grid = ReadCells(body, delimiter);
  if (!grid) {
    return MakeError(file, {"expected CSV with closed quotes"});
  }
  if (grid->rows.empty()) {
    return MakeError(file, {"expected a heading row"});
  }
  const Cells& heading = grid->rows.front();
  std::vector<std::string> errors;
  CheckHeading(heading, &errors);
  if (!errors.empty()) {
    return MakeError(file, errors);
  }
  FleetState state;
  const auto for_each_row = [&](const std::function<void(RowReader&)>& visit) {
    for (size_t i = 1; i < grid->rows.size(); ++i) {
      if (!IsBlank(grid->rows[i])) {
        RowReader row(heading, grid->rows[i], i + 1, delimiter, &errors);
        visit(row);
      }
    }
  };
  for_each_row([&](RowReader& row) { ReadRow(row, &state); });
  for_each_row([&](RowReader& row) { CheckReferences(row, state); });
  if (!errors.empty()) {
    return MakeError(file, errors);
  }
  if (state.customers.empty()) {
    return MakeError(file, {"expected at least one customer"});
  }
  return state;
}

std::vector<Op> PlanSheet(const FleetState& wanted, const FleetState& current) {
  std::vector<Op> ops;
  Compare(Section::kCustomer, wanted.customers, current.customers, &ops);
  Compare(Section::kAdapter, wanted.adapters, current.adapters, &ops);
  Compare(Section::kBackend, wanted.backends, current.backends, &ops);
  Compare(Section::kRoute, wanted.routes, current.routes, &ops);
  for (const auto& [digest, key] : current.keys) {
    if (!wanted.customers.contains(key.customer)) {
      ops.push_back(DropOp(Section::kKey, digest));
    }
  }
  return ops;
}

std::string DescribeOp(const Op& op, const FleetState& current) {
  const char* mark = "+";
  if (!op.value) {
    mark = "-";
  } else if (Exists(op, current)) {
    mark = "~";
  }
  return fmt::format("{} {} {}", mark, SectionName(op.section), op.name);
}

}  // namespace rosemaryhook
