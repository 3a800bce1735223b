// Boost.JSON comes as headers; this file compiles its implementation once.
#include <boost/json/src.hpp>
