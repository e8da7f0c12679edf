#include "camphorlug/documents/parse_document.h"

#include "fakes/simulated_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace camphorlug;
namespace data = boost::unit_test::data;

namespace {

struct invalid_document {
  const char* text;
  const char* key;
  std::uint32_t line;
};

std::ostream& operator<<(std::ostream& out, const invalid_document& document) {
  return out << document.key;
}

const invalid_document invalid_documents[] = {
    {"service = \"a\"\npool = \"p\"\nqueeu = 1\n", "queeu", 3},
    {"service = \"a\"\npool = 7\n", "pool", 2},
    {"service = \"a\"\n", "pool", 1},
    {"service = \"A B\"\npool = \"p\"\n", "service", 1},
    {"service = \"a\"\npool = \"p\"\n[limits]\nqueue = -1\n", "limits.queue", 4},
    {"service = \"a\"\npool = \"p\"\n[model]\nname = \"m\"\nversion = \"v\"\nspan = 0\n",
     "model.span", 6},
    {"service = \"a\"\npool = \"p\"\n[[class]]\nname = \"x\"\n[[class]]\nname = \"x\"\n",
     "class[1].name", 6},
    {"service = \"a\"\npool = \"p\"\n[[organisation]]\nname = \"x\"\nkey_sha256 = [\"short\"]\n",
     "organisation[0].key_sha256", 5},
    {"service = \"a\"\npool = \"p\"\nnot_run_statuses = [200]\n", "not_run_statuses", 3},
    {"service = \"a\"\npool = \n", "(file)", 2},
};

} // namespace

BOOST_DATA_TEST_CASE(error_reports_line_and_key, data::make(invalid_documents), document) {
  support::config_errors errors;
  BOOST_TEST(!documents::parse_document(document.text, errors));
  BOOST_REQUIRE(errors.size() >= 1);
  BOOST_TEST(errors.front().key == document.key);
  BOOST_TEST(errors.front().line == document.line);
  BOOST_TEST(!errors.front().allowed.empty());
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_together) {
  support::config_errors errors;
  documents::parse_document("pool = 7\nunknown = 1\n[limits]\nqueue = \"x\"\n", errors);
  BOOST_TEST(errors.size() == 4);
}

BOOST_AUTO_TEST_CASE(complete_document_is_parsed) {
  support::config_errors errors;
  const auto document = documents::parse_document(fakes::model_document(), errors);
  BOOST_REQUIRE(document);
  BOOST_TEST(document->model->span == 4);
  BOOST_TEST(document->organisations.size() == 2);
  BOOST_TEST(document->organisations[0].default_class == "standard");
}
