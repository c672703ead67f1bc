#include "rosemaryhook/sheet.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

constexpr char kHeading[] =
    "kind;name;customer;version;model;rate;burst;zone;address;slots;"
    "adapter_slots;fencing;adapter;service;repeatable;open;note\n";
constexpr char kRows[] =
    "customer;marsu;;;;12,5;100;;;;;;;;;;\"päivystys; yö\"\n"
    "runner;r1;;;base;;;zone-a;127.0.0.1:1;8;4;yes;;;;;\n"
    "service;s1;;;;;;zone-a;127.0.0.1:2;4;;;;booking;;;\n"
    "adapter;help;marsu;3;base;;;;;;;;;;;;\n"
    "route;family;marsu;3;;;;;;;;;help;;;;\n"
    "route;reserve;marsu;;;;;;;;;;;booking;no;;\n";

std::string Sheet(const std::string& extra = "") {
  return std::string(kHeading) + kRows + extra;
}

std::string ErrorOf(const std::string& text) {
  const auto parsed = ParseSheet(text, "plan.csv");
  const Error* error = Failure(parsed);
  return error == nullptr ? "" : error->message;
}

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

BOOST_AUTO_TEST_SUITE(sheet)

BOOST_AUTO_TEST_CASE(variants_of_spreadsheet_exports_parse_alike) {
  const auto plain = ParseSheet(Sheet(), "plan.csv");
  BOOST_REQUIRE_MESSAGE(Failure(plain) == nullptr, ErrorOf(Sheet()));
  const FleetState& state = std::get<FleetState>(plain);
  BOOST_TEST(state.customers.at("marsu").rate == 12.5);
  BOOST_TEST(state.routes.at("family").adapter == "help@3");
  BOOST_TEST(!state.routes.at("reserve").repeatable);
  BOOST_TEST(state.backends.at("r1").checks_fencing);
  const std::vector<std::string> variants{
      "\xEF\xBB\xBF" + Sheet(),
      Replaced(Sheet(), "\n", "\r\n"),
      Sheet(";;;;;;;;;;;;;;;;\n\n"),
      Sheet("\r\n"),
      Replaced(Replaced(Replaced(Sheet(), "; yö", " yö"), "12,5", "12.5"), ";",
               ","),
      Sheet().substr(0, Sheet().size() - 1),
  };
  for (const std::string& text : variants) {
    const auto parsed = ParseSheet(text, "plan.csv");
    BOOST_REQUIRE_MESSAGE(Failure(parsed) == nullptr, ErrorOf(text));
    BOOST_TEST((std::get<FleetState>(parsed) == state));
  }
}

BOOST_AUTO_TEST_CASE(errors_name_row_column_and_expectation) {
  const std::vector<std::pair<std::string, std::string>> cases{
      {Sheet("customer;การท่าเรือ;;;;fast;10;;;;;;;;;;\n"),
       "row 8, column rate: expected a number of at least 0, not \"fast\""},
      {Sheet("\n\ncustomer;marsu;;;;1;10;;;;;;;;;;\n"),
       "row 10, column name: expected a name that no earlier row has"},
      {Sheet("adapter;x;nobody;1;base;;;;;;;;;;;;\n"),
       "row 8, column customer: expected a customer of this sheet"},
      {Sheet("adapter;x;marsu;;base;;;;;;;;;;;;\n"),
       "row 8, column version: expected a name"},
      {Sheet("adapter;x;marsu;1;other;;;;;;;;;;;;\n"),
       "row 8, column model: expected the model of a runner"},
      {Sheet("route;x;marsu;9;;;;;;;;;help;;;;\n"),
       "row 8, column version: expected a version of an adapter"},
      {Sheet("runner;r2;;;base;;;z;nowhere;8;4;yes;;;;;\n"),
       "row 8, column address: expected an address"},
      {Sheet("runner;r2;;;base;;;z;127.0.0.1:1;0;4;yes;;;;;\n"),
       "row 8, column slots: expected"},
      {Sheet("runner;r2;;;base;;;z;127.0.0.1:1;8;4;maybe;;;;;\n"),
       "row 8, column fencing: expected yes, no or an empty cell"},
      {Sheet("ship;x;;;;;;;;;;;;;;;\n"), "row 8, column kind: expected"},
      {"kind;nam\n", "row 1, column nam: expected a known column"},
      {"kind\n", "row 1, column name: expected the column"},
      {Sheet("customer;\"open\n"), "closed quotes"},
      {"", "expected"},
      {kHeading, "at least one customer"},
  };
  for (const auto& [text, message] : cases) {
    BOOST_TEST(ErrorOf(text).find(message) != std::string::npos,
               message << " in " << ErrorOf(text));
  }
}

BOOST_AUTO_TEST_CASE(a_plan_contains_only_the_differences) {
  const auto wanted = std::get<FleetState>(ParseSheet(Sheet(), "plan.csv"));
  FleetState current;
  Change change{1, "desk", "m", PlanSheet(wanted, current)};
  BOOST_TEST(change.ops.size() == 6U);
  BOOST_REQUIRE(Failure(ApplyChange(change, &current)) == nullptr);
  BOOST_TEST(PlanSheet(wanted, current).empty());
  current.customers["old"] = {};
  current.keys["digest"] = {"old"};
  const auto ops = PlanSheet(wanted, current);
  BOOST_TEST(ops.size() == 2U);  // the customer and its key
  BOOST_TEST(DescribeOp(ops[0], current) == "- customer old");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
