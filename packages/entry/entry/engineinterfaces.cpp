#include "entry/engineinterfaces.h"
