#pragma once

#include <string>

namespace review {

/** Reads the table of the platform's names, which Word() looks up. */
bool
LoadWords(const std::string& aFile);

/** The platform's name for one of this program's own words. */
const std::string&
Word(const std::string& aOwn);

}
