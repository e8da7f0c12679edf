#include "fakes/recorded_build.h"

#include "fakes/test_data_folder.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace camphorlug::fakes::recorded_build {

std::string read(const std::string& name) {
  const std::string path = std::string(test_data_folder) + "/427b0ea/" + name;
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || text.str().empty())
    throw std::runtime_error("cannot read " + path);
  return text.str();
}

std::map<std::string, std::string> own_rows() {
  return nlohmann::json::parse(read("rows.json"));
}

} // namespace camphorlug::fakes::recorded_build
