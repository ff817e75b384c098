/** Values and guards that all other packages share: names, sizes and checks. */
package io.cardamomshelf.core.base;
